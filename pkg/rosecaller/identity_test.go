package rosecaller_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// directory returns the teams of a version, in which a team holds the key "key". There is no
// such team if its name is empty.
func directory(c *qt.C, version int64, team string) *roseteam.Directory {
	teams := []roseteam.Team{{Name: "other"}}
	if team != "" {
		teams = append(teams, roseteam.Team{Name: team, Keys: []roseteam.KeyDigest{roseteam.DigestKey("key")}})
	}
	d, err := roseteam.NewDirectory(version, teams)
	c.Assert(err, qt.IsNil)
	return d
}

// newTeamSession returns a session whose key belongs to team "red" in version 1.
func newTeamSession(c *qt.C, results ...rosecaller.Result) (*rosecaller.Session, *executor) {
	e := &executor{results: results, teams: directory(c, 1, "red")}
	return rosecaller.NewSession(rosecaller.Config{ConfigProvider: e, Database: "db", Key: roseteam.DigestKey("key"), Executor: e, Observer: e}), e
}

var (
	done = rosecaller.Result{Answer: rosemary.Answer{Digest: "d"}}
	open = rosecaller.Result{Answer: rosemary.Answer{Digest: "d", TransactionState: rosemary.TransactionOpen}, Open: true}
)

// runKinds runs statements of several kinds, and returns the last one's refusal.
func runKinds(session *rosecaller.Session, kinds ...rosemary.StatementKind) *rosemary.Refusal {
	var refusal *rosemary.Refusal
	for _, kind := range kinds {
		_, refusal = session.Do(context.Background(), statement(kind, "name", "x"))
	}
	return refusal
}

func TestTaskNamesTeam(t *testing.T) {
	c := qt.New(t)
	session, e := newTeamSession(c, done, done)
	c.Check(runKinds(session, rosemary.StatementWrite) == nil, qt.IsTrue)
	e.teams = directory(c, 2, "blue")
	c.Check(runKinds(session, rosemary.StatementWrite) == nil, qt.IsTrue)
	c.Check(e.tasks[0].Team, qt.Equals, "red")
	c.Check(e.tasks[0].ConfigurationVersion, qt.Equals, int64(1))
	c.Check(e.tasks[1].Team, qt.Equals, "blue")
	c.Check(e.tasks[1].ConfigurationVersion, qt.Equals, int64(2))
}

// TestChangedKeyEndsTransaction takes a key away or gives it to another team while a
// transaction is open.
func TestChangedKeyEndsTransaction(t *testing.T) {
	tests := []struct {
		name  string
		team  string
		kind  rosemary.StatementKind
		want  rosemary.RefusalKind
		state rosemary.TransactionState
	}{
		{"revoked, write", "", rosemary.StatementWrite, rosemary.KindDenied, rosemary.TransactionNone},
		{"revoked, commit", "", rosemary.StatementCommit, rosemary.KindDenied, rosemary.TransactionNone},
		{"moved, write", "blue", rosemary.StatementWrite, rosemary.KindAborted, rosemary.TransactionFailed},
		{"moved, commit", "blue", rosemary.StatementCommit, rosemary.KindAborted, rosemary.TransactionNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			session, e := newTeamSession(c, open, done)
			c.Assert(runKinds(session, rosemary.StatementBegin, rosemary.StatementWrite) == nil, qt.IsTrue)
			e.teams = directory(c, 2, test.team)
			refusal := runKinds(session, test.kind)
			c.Assert(refusal != nil, qt.IsTrue)
			c.Check(refusal.Kind, qt.Equals, test.want)
			c.Check(refusal.Outcome, qt.Equals, rosemary.OutcomeNotRun)
			c.Check(e.rollbacks, qt.Equals, 1)
			c.Check(e.tasks, qt.HasLen, 1)
			c.Check(session.TransactionState(), qt.Equals, test.state)
		})
	}
}

// TestRevokedKeyRunsNothing checks all statements outside a transaction, and that the session
// is as before once the key is back.
func TestRevokedKeyRunsNothing(t *testing.T) {
	c := qt.New(t)
	session, e := newTeamSession(c, done)
	c.Assert(runKinds(session, rosemary.StatementSet, rosemary.StatementPrepare) == nil, qt.IsTrue)
	e.teams = directory(c, 2, "")
	for _, kind := range []rosemary.StatementKind{rosemary.StatementRead, rosemary.StatementWrite, rosemary.StatementExecute, rosemary.StatementBegin} {
		refusal := runKinds(session, kind)
		c.Assert(refusal != nil, qt.IsTrue, qt.Commentf("%s", kind))
		c.Check(refusal.Kind, qt.Equals, rosemary.KindDenied)
		c.Check(session.TransactionState(), qt.Equals, rosemary.TransactionNone)
	}
	c.Check(e.tasks, qt.HasLen, 0)
	e.teams = directory(c, 3, "red")
	c.Assert(runKinds(session, rosemary.StatementExecute) == nil, qt.IsTrue)
	c.Check(e.tasks[0].Settings, qt.DeepEquals, map[string]string{"name": "x"})
}

// learningExecutor learns of a newer configuration with its first refusal.
type learningExecutor struct {
	*executor
	learned *roseteam.Directory
}

func (l learningExecutor) Run(ctx context.Context, task rosecaller.Task) rosecaller.Result {
	result := l.executor.Run(ctx, task)
	if result.NewerVersion > 0 && l.learned != nil {
		l.executor.teams = l.learned
	}
	return result
}

// TestOutdatedStatementIsTriedAgain checks that a statement that a home refuses because of its
// newer configuration runs if that allows it, and isn't tried again without news.
func TestOutdatedStatementIsTriedAgain(t *testing.T) {
	tests := []struct {
		name    string
		learned string
		news    bool
		want    rosemary.RefusalKind
		tasks   int
	}{
		{"still allowed", "red", true, "", 2},
		{"moved", "blue", true, "", 2},
		{"revoked", "", true, rosemary.KindDenied, 1},
		{"no news", "", false, rosemary.KindOutdated, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			outdated := rosecaller.OutdatedResult(rosecaller.Task{}, rosecaller.OutsideTransaction, 2)
			e := learningExecutor{executor: &executor{results: []rosecaller.Result{outdated, done}, teams: directory(c, 1, "red")}}
			if test.news {
				e.learned = directory(c, 2, test.learned)
			}
			session := rosecaller.NewSession(rosecaller.Config{ConfigProvider: e, Database: "db", Key: roseteam.DigestKey("key"), Executor: e, Observer: e})
			refusal := runKinds(session, rosemary.StatementWrite)
			kind := rosemary.RefusalKind("")
			if refusal != nil {
				kind = refusal.Kind
			}
			c.Check(kind, qt.Equals, test.want)
			c.Check(e.tasks, qt.HasLen, test.tasks)
		})
	}
}
