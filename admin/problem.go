package admin

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"trefoildock.example/configstore"
	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

// problemTypePrefix precedes the code in the type of a problem.
const problemTypePrefix = "urn:trefoildock:admin:"

// Codes of problems.
const (
	CodeUnauthorized        = "unauthorized"
	CodeNotFound            = "not-found"
	CodeMethodNotAllowed    = "method-not-allowed"
	CodeUnsupportedMedia    = "unsupported-media-type"
	CodeBodyTooLarge        = "body-too-large"
	CodeBadRequest          = "bad-request"
	CodeInvalidRules        = "invalid-rules"
	CodeConflict            = "conflict"
	CodeCommitIDReused      = "commit-id-reused"
	CodeKeyAlreadyIssued    = "key-already-issued"
	CodeBusy                = "busy"
	CodePlatformUnavailable = "platform-unavailable"
	CodeOutcomeUnknown      = "outcome-unknown"
	CodeInternal            = "internal"
)

// ProblemError is an RFC 9457 problem body and the error that the client returns for it.
type ProblemError struct {
	Type   string `json:"type"` // URN that ends in the code
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   string `json:"code"`

	Errors      []RuleError `json:"errors,omitempty"`       // invalid-rules
	ReadVersion *uint64     `json:"read_version,omitempty"` // conflict: version that the change was based on
	HeadVersion *uint64     `json:"head_version,omitempty"` // conflict: current version
	Digest      string      `json:"digest,omitempty"`       // key-already-issued
	RetryAfter  int         `json:"retry_after_seconds,omitempty"`
}

// RuleError is one fault of a rules text.
type RuleError struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Word     string `json:"word,omitempty"`
	Expected string `json:"expected"`
}

// String returns the fault in the form "file:line:col: message".
func (e RuleError) String() string {
	return (&rules.Error{File: e.File, Line: e.Line, Column: e.Column, Word: e.Word, Expected: e.Expected}).Error()
}

// RuleErrors converts the faults found by package rules.
func RuleErrors(list rules.ErrorList) []RuleError {
	converted := make([]RuleError, len(list))
	for i, e := range list {
		converted[i] = RuleError{File: e.File, Line: e.Line, Column: e.Column, Word: e.Word, Expected: e.Expected}
	}
	return converted
}

// Error returns the title and the detail.
func (p *ProblemError) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Detail
}

// newProblem returns a problem with a formatted detail.
func newProblem(status int, code, format string, args ...any) *ProblemError {
	return &ProblemError{
		Type:   problemTypePrefix + code,
		Title:  http.StatusText(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
		Code:   code,
	}
}

func badRequest(format string, args ...any) *ProblemError {
	return newProblem(http.StatusBadRequest, CodeBadRequest, format, args...)
}

func conflictProblem(read, head uint64) *ProblemError {
	p := newProblem(http.StatusConflict, CodeConflict,
		"the change is based on version %d, but the current version is %d; nothing was changed", read, head)
	p.ReadVersion, p.HeadVersion = &read, &head
	return p
}

func invalidRules(list rules.ErrorList) *ProblemError {
	p := newProblem(http.StatusUnprocessableEntity, CodeInvalidRules, "%d faults in the rules; nothing was changed", len(list))
	if len(list) > maxReportedErrors {
		list = list[:maxReportedErrors]
	}
	p.Errors = RuleErrors(list)
	return p
}

// problemOf converts an error of a lower layer.
func problemOf(err error) *ProblemError {
	var problem *ProblemError
	var conflict *configstore.ConflictError
	var list rules.ErrorList
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &conflict):
		return conflictProblem(conflict.Read, conflict.Head)
	case errors.As(err, &list):
		return invalidRules(list)
	case errors.Is(err, configstore.ErrCommitIDReused):
		return commitIDReused("another change")
	case errors.Is(err, configstore.ErrInvalidCommit):
		return badRequest("%v", err)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		p := newProblem(http.StatusServiceUnavailable, CodeOutcomeUnknown,
			"the platform's answer was lost, so the change may have been committed; repeat it with the same commit id")
		p.RetryAfter = 1
		return p
	case errors.Is(err, platform.ErrUnavailable):
		p := newProblem(http.StatusServiceUnavailable, CodePlatformUnavailable,
			"the platform is unavailable; configuration, audit trail and changes need it, status does not")
		p.RetryAfter = 5
		return p
	case errors.Is(err, platform.ErrInvalid):
		return newProblem(http.StatusUnprocessableEntity, CodeBadRequest, "the platform refuses the change: it is too large")
	}
	return newProblem(http.StatusInternalServerError, CodeInternal, "internal error; see the log of the node")
}
