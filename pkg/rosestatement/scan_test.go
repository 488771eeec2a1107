package rosestatement_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

func TestScan(t *testing.T) {
	for _, test := range []struct {
		query string
		kinds []rosestatement.Kind
		tags  rosestatement.Tags
	}{
		{"", nil, rosestatement.Tags{}},
		{"SELECT 1", []rosestatement.Kind{rosestatement.KindPlain}, rosestatement.Tags{}},
		{"begin; commit", []rosestatement.Kind{rosestatement.KindBegin, rosestatement.KindEnd}, rosestatement.Tags{}},
		{"ROLLBACK TO SAVEPOINT a", []rosestatement.Kind{rosestatement.KindPlain}, rosestatement.Tags{}},
		{"-- listen\nSELECT ';listen' /* ; listen /* ; */ */", []rosestatement.Kind{rosestatement.KindPlain}, rosestatement.Tags{}},
		{"SELECT $$ ; listen $$; LISTEN x", []rosestatement.Kind{rosestatement.KindPlain, rosestatement.KindUnsupported}, rosestatement.Tags{}},
		{"SELECT $a$ $$ ; copy $a$", []rosestatement.Kind{rosestatement.KindPlain}, rosestatement.Tags{}},
		{`SELECT "a;copy""b"`, []rosestatement.Kind{rosestatement.KindPlain}, rosestatement.Tags{}},
		{"SET LOCAL timezone = 'UTC'", []rosestatement.Kind{rosestatement.KindPlain}, rosestatement.Tags{}},
		{"SET SESSION timezone TO 'UTC'", []rosestatement.Kind{rosestatement.KindSessionSet}, rosestatement.Tags{}},
		{"SET rosemary.class = 'lookup'", []rosestatement.Kind{rosestatement.KindProxySet}, rosestatement.Tags{}},
		{"SHOW rosemary.token", []rosestatement.Kind{rosestatement.KindProxyShow}, rosestatement.Tags{}},
		{
			"UPDATE t SET a = 1 /*class='sign%2Dup',request_id='r''1',other='x'*/",
			[]rosestatement.Kind{rosestatement.KindPlain},
			rosestatement.Tags{Class: "sign-up", RequestID: "r''1"},
		},
		{"(SELECT 1) UNION (SELECT 2)", []rosestatement.Kind{rosestatement.KindPlain}, rosestatement.Tags{}},
	} {
		script := rosestatement.Scan(test.query)
		var kinds []rosestatement.Kind
		for _, s := range script.Statements {
			kinds = append(kinds, s.Kind())
		}
		c := qt.New(t)
		c.Check(kinds, qt.DeepEquals, test.kinds, qt.Commentf("%s", test.query))
		c.Check(script.Tags, qt.Equals, test.tags, qt.Commentf("%s", test.query))
	}
}

func FuzzScan(f *testing.F) {
	f.Add("SELECT $a$ x $a$; /* /* */ 'a''b' \"c\" -- d\nSET x = 1")
	f.Fuzz(func(_ *testing.T, query string) {
		for _, s := range rosestatement.Scan(query).Statements {
			s.Kind()
			s.Setting()
		}
	})
}
