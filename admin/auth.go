package admin

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
)

// operatorKey stores the operator's name in the values of a request.
const operatorKey = "operator"

// authenticate admits only operators. It runs before routing, so that a stranger
// cannot learn which resources exist, and before any of the body is read.
func (h *handler) authenticate(ctx iris.Context) {
	name, ok := h.operatorOf(ctx.Request())
	if !ok {
		ctx.Header("WWW-Authenticate", `Bearer realm="trefoildock admin"`)
		ctx.Header("Connection", "close") // The body of a refused request is not read.
		h.fail(ctx, newProblem(http.StatusUnauthorized, CodeUnauthorized, "an operator token is required"))
		return
	}
	ctx.Values().Set(operatorKey, name)
	ctx.Next()
}

// operatorOf returns the operator of the only Authorization header.
func (h *handler) operatorOf(r *http.Request) (string, bool) {
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

// operator returns the name of the authenticated operator.
func operator(ctx iris.Context) string {
	return ctx.Values().GetString(operatorKey)
}
