package rosetarget

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// sqlError is an error with the SQLSTATE that a caller sees.
type sqlError struct {
	state   string
	message string
	detail  string
}

func (e *sqlError) Error() string { return e.state + ": " + e.message }

func (e *sqlError) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                e.state,
		Message:             e.message,
		Detail:              e.detail,
	}
}

func newError(state, format string, args ...any) *sqlError {
	return &sqlError{state: state, message: fmt.Sprintf(format, args...)}
}

func syntaxError(format string, args ...any) *sqlError {
	return newError("42601", format, args...)
}

func unsupported(format string, args ...any) *sqlError {
	return newError("0A000", format, args...)
}
