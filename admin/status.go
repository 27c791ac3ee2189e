package admin

import (
	"net/http"

	"github.com/kataras/iris/v12"
)

// status does not access the platform, so it also works during a platform outage.
func (h *handler) status(ctx iris.Context) (httpResponse, error) {
	return httpResponse{http.StatusOK, h.config.Cluster.Status(ctx.Request().Context())}, nil
}
