package main

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"trefoildock.example/admin"
	"trefoildock.example/rules"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitNotAccepted = 5
	exitUnreachable = 6
)

// usageError reports a missing or invalid value on the command line or in an
// environment variable.
type usageError struct{ err error }

// Error returns the underlying error.
func (e *usageError) Error() string { return e.err.Error() }

// fileError reports that an input file cannot be read.
type fileError struct {
	file string
	err  error
}

// Error returns the file name and the underlying error.
func (e *fileError) Error() string { return e.file + ": " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *fileError) Unwrap() error { return e.err }

// errNotAccepted reports that a change is committed but not acknowledged by a quorum.
// The result of the change has already been written.
var errNotAccepted = errors.New("committed, not yet accepted")

// changeError adds the commit id to the error of a change.
type changeError struct {
	commitID string
	err      error
}

// Error returns the underlying error.
func (e *changeError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *changeError) Unwrap() error { return e.err }

// mayHaveRun reports whether the change may have been committed despite the error.
func (e *changeError) mayHaveRun() bool {
	var unreachable *admin.UnreachableError
	var problem *admin.ProblemError
	return errors.As(e.err, &unreachable) && unreachable.MayHaveRun ||
		errors.As(e.err, &problem) && problem.Code == admin.CodeOutcomeUnknown
}

// errorReport is the JSON output of an error.
type errorReport struct {
	ExitCode    int               `json:"exit_code"`
	Code        string            `json:"code,omitempty"`
	Message     string            `json:"message"`
	Errors      []admin.RuleError `json:"errors,omitempty"`
	Settings    []string          `json:"settings,omitempty"` // errors in a settings file
	ReadVersion *uint64           `json:"read_version,omitempty"`
	HeadVersion *uint64           `json:"head_version,omitempty"`
	Digest      string            `json:"digest,omitempty"`
	CommitID    string            `json:"commit_id,omitempty"` // set if the command should be retried with this commit id
}

// reportError writes an error to stderr and returns the exit code.
func (a *app) reportError(err error) int {
	code := exitCode(err)
	if errors.Is(err, errNotAccepted) {
		return code
	}
	report := newErrorReport(code, err)
	if a.JSON {
		writeJSON(a.stderr, report)
		return code
	}
	if inputErrors := report.inputErrors(); len(inputErrors) > 0 {
		for _, line := range inputErrors {
			_, _ = fmt.Fprintln(a.stderr, line)
		}
		return code
	}
	_, _ = fmt.Fprintln(a.stderr, "trefoildock:", report.Message)
	if report.CommitID != "" {
		_, _ = fmt.Fprintf(a.stderr, "trefoildock: repeat the command with --commit-id %s to learn the outcome; it is not applied twice\n", report.CommitID)
	}
	return code
}

// inputErrors returns the errors in an input file, one per line.
func (r *errorReport) inputErrors() []string {
	lines := slices.Clone(r.Settings)
	for _, e := range r.Errors {
		lines = append(lines, e.String())
	}
	return lines
}

func newErrorReport(code int, err error) errorReport {
	report := errorReport{ExitCode: code, Message: err.Error()}
	var list rules.ErrorList
	var settingErrors *settingsError
	var problem *admin.ProblemError
	switch {
	case errors.As(err, &settingErrors):
		report.Message, report.Settings = settingErrors.Error(), settingErrors.lines()
	case errors.As(err, &list):
		report.Code, report.Errors = admin.CodeInvalidRules, admin.RuleErrors(list)
		report.Message = fmt.Sprintf("%d faults in the rules", len(list))
	case errors.As(err, &problem):
		report.Code, report.Errors = problem.Code, problem.Errors
		report.ReadVersion, report.HeadVersion = problem.ReadVersion, problem.HeadVersion
		report.Digest = problem.Digest
	}
	var change *changeError
	if errors.As(err, &change) && change.mayHaveRun() {
		report.CommitID = change.commitID
	}
	return report
}

// exitCode returns the documented exit code of an error.
func exitCode(err error) int {
	var usage *usageError
	var file *fileError
	var ruleErrors rules.ErrorList
	var settingErrors *settingsError
	var problem *admin.ProblemError
	var unreachable *admin.UnreachableError
	switch {
	case errors.Is(err, errNotAccepted):
		return exitNotAccepted
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &file), errors.As(err, &ruleErrors), errors.As(err, &settingErrors):
		return exitInvalid
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &problem):
		return problemExitCode(problem)
	}
	return exitFailure
}

func problemExitCode(problem *admin.ProblemError) int {
	switch {
	case problem.Code == admin.CodeConflict:
		return exitConflict
	case problem.Code == admin.CodeInvalidRules:
		return exitInvalid
	case problem.Status == http.StatusServiceUnavailable:
		return exitUnreachable
	}
	return exitFailure
}
