package admin

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"trefoildock.example/configstore"
	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

// problemTypePrefix is the URN prefix of problem types; the code follows it.
const problemTypePrefix = "urn:trefoildock:admin:"

// Problem codes.
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

// ProblemError is an RFC 9457 problem body. The client returns it as an error.
type ProblemError struct {
	Type   string `json:"type"` // URN that ends in the code
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   string `json:"code"`

	Errors      []RuleError `json:"errors,omitempty"`       // set for invalid-rules
	ReadVersion *uint64     `json:"read_version,omitempty"` // set for conflict: version that the change was based on
	HeadVersion *uint64     `json:"head_version,omitempty"` // set for conflict: current version
	Digest      string      `json:"digest,omitempty"`       // set for key-already-issued
	RetryAfter  int         `json:"retry_after_seconds,omitempty"`
}

// RuleError is one error in a rules file.
type RuleError struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Word     string `json:"word,omitempty"`
	Expected string `json:"expected"`
}

// String returns the error in the form "file:line:col: message".
func (e RuleError) String() string {
	return (&rules.Error{File: e.File, Line: e.Line, Column: e.Column, Word: e.Word, Expected: e.Expected}).Error()
}

// RuleErrors converts the errors reported by package rules.
func RuleErrors(list rules.ErrorList) []RuleError {
	converted := make([]RuleError, len(list))
	for i, e := range list {
		converted[i] = RuleError{File: e.File, Line: e.Line, Column: e.Column, Word: e.Word, Expected: e.Expected}
	}
	return converted
}

// Error returns the detail, or the title if there is no detail.
func (p *ProblemError) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Detail
}

// newProblem returns a problem with a formatted detail text.
func newProblem(status int, code, format string, args ...any) *ProblemError {
	return &ProblemError{
		Type:   problemTypePrefix + code,
		Title:  http.StatusText(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
		Code:   code,
	}
}

func badRequestProblem(format string, args ...any) *ProblemError {
	return newProblem(http.StatusBadRequest, CodeBadRequest, format, args...)
}

func conflictProblem(read, head uint64) *ProblemError {
	p := newProblem(http.StatusConflict, CodeConflict,
		"the change is based on version %d, but the current version is %d; nothing was changed", read, head)
	p.ReadVersion, p.HeadVersion = &read, &head
	return p
}

func invalidRulesProblem(list rules.ErrorList) *ProblemError {
	p := newProblem(http.StatusUnprocessableEntity, CodeInvalidRules, "%d faults in the rules; nothing was changed", len(list))
	if len(list) > maxReportedErrors {
		list = list[:maxReportedErrors]
	}
	p.Errors = RuleErrors(list)
	return p
}

// problemFromError converts an error of the store, the platform or package rules
// to a problem. An unrecognized error becomes an internal error without details.
func problemFromError(err error) *ProblemError {
	var problem *ProblemError
	var conflict *configstore.ConflictError
	var list rules.ErrorList
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &conflict):
		return conflictProblem(conflict.ReadVersion, conflict.HeadVersion)
	case errors.As(err, &list):
		return invalidRulesProblem(list)
	case errors.Is(err, configstore.ErrCommitIDReused):
		return commitIDReusedProblem("another change")
	case errors.Is(err, configstore.ErrInvalidCommit):
		return badRequestProblem("%v", err)
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
