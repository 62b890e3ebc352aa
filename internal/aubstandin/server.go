package aubstandin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const readHeaderTimeout = 10 * time.Second

// Serve serves the handler of a stand-in on a listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
