package rosetarget

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// sqlError is an error that is sent to the client with its SQLSTATE.
type sqlError struct {
	sqlState string
	message  string
	detail   string
}

func (e *sqlError) Error() string { return e.sqlState + ": " + e.message }

func (e *sqlError) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                e.sqlState,
		Message:             e.message,
		Detail:              e.detail,
	}
}

func newError(sqlState, format string, args ...any) *sqlError {
	return &sqlError{sqlState: sqlState, message: fmt.Sprintf(format, args...)}
}

func syntaxError(format string, args ...any) *sqlError {
	return newError("42601", format, args...)
}

func unsupportedError(format string, args ...any) *sqlError {
	return newError("0A000", format, args...)
}
