package admin

import (
	"net/http"

	"github.com/kataras/iris/v12"
)

// status needs no platform, so it works during an outage.
func (h *handler) status(ctx iris.Context) (reply, error) {
	return reply{http.StatusOK, h.config.Cluster.Status(ctx.Request().Context())}, nil
}
