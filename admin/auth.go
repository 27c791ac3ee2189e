package admin

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
)

// operatorContextKey is the key of the operator's name in the values of a request
// context.
const operatorContextKey = "operator"

// authenticate rejects requests without a valid operator token. It runs before
// routing, so that unauthenticated clients cannot discover which resources exist, and
// before the body is read.
func (h *handler) authenticate(ctx iris.Context) {
	name, ok := h.operatorFromRequest(ctx.Request())
	if !ok {
		ctx.Header("WWW-Authenticate", `Bearer realm="trefoildock admin"`)
		ctx.Header("Connection", "close") // The body of a rejected request is not read.
		h.fail(ctx, newProblem(http.StatusUnauthorized, CodeUnauthorized, "an operator token is required"))
		return
	}
	ctx.Values().Set(operatorContextKey, name)
	ctx.Next()
}

// operatorFromRequest returns the operator whose token is in the Authorization
// header. It reports false unless there is exactly one such header.
func (h *handler) operatorFromRequest(r *http.Request) (string, bool) {
	headers := r.Header.Values("Authorization")
	if len(headers) != 1 {
		return "", false
	}
	scheme, token, found := strings.Cut(headers[0], " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > maxTokenLength {
		return "", false
	}
	return h.config.Operator(token)
}

// authenticatedOperator returns the name of the authenticated operator.
func authenticatedOperator(ctx iris.Context) string {
	return ctx.Values().GetString(operatorContextKey)
}
