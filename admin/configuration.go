package admin

import (
	"net/http"
	"slices"
	"strings"

	"github.com/kataras/iris/v12"

	"trefoildock.example/rules"
)

// defaultFileName is used in error messages for a rules file without a name.
const defaultFileName = "rules"

func (h *handler) readConfiguration(ctx iris.Context) (httpResponse, error) {
	state, err := h.config.Store.LoadConfig(ctx.Request().Context())
	if err != nil {
		return httpResponse{}, err
	}
	return httpResponse{http.StatusOK, ConfigurationResponse{Version: state.Version, Lines: state.Config.Lines()}}, nil
}

func (h *handler) check(ctx iris.Context) (httpResponse, error) {
	var file RulesFile
	if err := decodeBody(ctx, MaxFileBodyBytes, &file); err != nil {
		return httpResponse{}, err
	}
	config, err := file.parse()
	if err != nil {
		return httpResponse{}, err
	}
	return httpResponse{http.StatusOK, CheckResponse{Rules: countRules(config)}}, nil
}

func (h *handler) diff(ctx iris.Context) (httpResponse, error) {
	var file RulesFile
	if err := decodeBody(ctx, MaxFileBodyBytes, &file); err != nil {
		return httpResponse{}, err
	}
	to, err := file.parse()
	if err != nil {
		return httpResponse{}, err
	}
	from, err := h.config.Store.LoadConfig(ctx.Request().Context())
	if err != nil {
		return httpResponse{}, err
	}
	return httpResponse{http.StatusOK, DiffResponse{Version: from.Version, Delta: rules.Diff(from.Config, to)}}, nil
}

func (h *handler) applyFile(ctx iris.Context) (httpResponse, error) {
	var request FileRequest
	if err := decodeBody(ctx, MaxFileBodyBytes, &request); err != nil {
		return httpResponse{}, err
	}
	if request.ReadVersion == nil {
		return httpResponse{}, badRequestProblem("read_version: expected the version that was read")
	}
	to, err := request.File.parse()
	if err != nil {
		return httpResponse{}, err
	}
	return h.commitChange(ctx, change{
		Change:      request.Change,
		action:      actionApplyFile,
		readVersion: request.ReadVersion,
		build:       func(from *rules.Config) (rules.Delta, error) { return rules.Diff(from, to), nil },
	})
}

func (h *handler) applyDelta(ctx iris.Context) (httpResponse, error) {
	var request DeltaRequest
	if err := decodeBody(ctx, MaxBodyBytes, &request); err != nil {
		return httpResponse{}, err
	}
	if request.ReadVersion == nil {
		return httpResponse{}, badRequestProblem("read_version: expected the version that was read")
	}
	for _, line := range slices.Concat(request.Delta.Removed, request.Delta.Added) {
		if strings.ContainsAny(line, "\r\n") {
			return httpResponse{}, badRequestProblem("delta: expected one rule per line, without line breaks")
		}
	}
	return h.commitChange(ctx, change{
		Change:      request.Change,
		action:      actionApplyDelta,
		readVersion: request.ReadVersion,
		build:       func(*rules.Config) (rules.Delta, error) { return request.Delta, nil },
	})
}

// parse parses the rules of the file. The error is a rules.ErrorList or a *ProblemError.
func (f *RulesFile) parse() (*rules.Config, error) {
	name := f.Name
	if name == "" {
		name = defaultFileName
	}
	if len(name) > maxFileNameLength {
		return nil, badRequestProblem("name: expected at most %d bytes", maxFileNameLength)
	}
	return rules.Parse(name, strings.NewReader(f.Text))
}

// countRules returns the number of rules of a configuration.
func countRules(c *rules.Config) int {
	return len(c.Services) + len(c.Routes) + len(c.Teams) + len(c.Keys) + len(c.Zones) + len(c.BackendServers)
}
