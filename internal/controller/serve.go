package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"ambersill/internal/api"
	"ambersill/internal/tuning"

	"golang.org/x/net/netutil"
)

const (
	// maxHeaderBytes bounds a request's header; neither users nor workers send long ones.
	maxHeaderBytes = 8 << 10
	// shutdownTimeout is how long requests that are being served may take to complete when
	// the controller stops.
	shutdownTimeout = time.Second
	// minPublicSockets is enough to answer health checks and to refuse requests, however
	// few sockets the settings leave.
	minPublicSockets = 16
)

// serve answers users and workers until the context ends.
func (c *Controller) serve(ctx context.Context) error {
	listener, err := c.net.Listen(ctx, c.settings.PublicAddr)
	if err != nil {
		return fmt.Errorf("listen for users and workers on %s: %w", c.settings.PublicAddr, err)
	}
	listener = netutil.LimitListener(listener, c.publicSockets())
	server := &http.Server{
		Handler:           api.Handler(c, c.tuning.RetryAfterS, tuning.Seconds(c.tuning.UserWaitS)),
		ReadHeaderTimeout: tuning.ReadTimeout,
		ReadTimeout:       tuning.ReadTimeout,
		IdleTimeout:       tuning.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() { shutDown(context.WithoutCancel(ctx), server) })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutDown lets the requests that are being served complete.
func shutDown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
}

// publicSockets returns how many connections users and workers may hold together: those
// that the controller does not need for itself and for commands to workers.
func (c *Controller) publicSockets() int {
	reserved := tuning.ReservedSockets + tuning.MaxIdleWorkerConns + c.commandSlots.limit
	return max(c.settings.Cluster.Limits.MaxSockets-reserved, minPublicSockets)
}
