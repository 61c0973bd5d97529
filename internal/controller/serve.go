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
	// maxHeaderBytes limits the size of a request's header. Neither users nor workers send
	// long headers.
	maxHeaderBytes = 8 << 10
	// shutdownTimeout is how long the controller waits, when it stops, for the requests that
	// it is serving to complete.
	shutdownTimeout = time.Second
	// minPublicSockets is the minimum number of connections for users and workers, even if
	// the settings leave fewer. It is enough to answer health checks and to refuse requests.
	minPublicSockets = 16
)

// serve serves the HTTP requests of users and workers until the context ends.
func (c *Controller) serve(ctx context.Context) error {
	listener, err := c.net.Listen(ctx, c.settings.PublicAddr)
	if err != nil {
		return fmt.Errorf("listening for users and workers on %s: %w", c.settings.PublicAddr, err)
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

// shutDown stops the server, and waits up to shutdownTimeout for requests to complete.
func shutDown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
}

// publicSockets returns the maximum number of connections that users and workers may hold
// together: the sockets that the controller needs neither for its own connections nor for
// commands to workers, but at least minPublicSockets.
func (c *Controller) publicSockets() int {
	reserved := tuning.ReservedSockets + tuning.MaxIdleWorkerConns + c.commandSlots.limit
	return max(c.settings.Cluster.ControllerLimits.MaxSockets-reserved, minPublicSockets)
}
