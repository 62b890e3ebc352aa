package aubprocess

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubregistry"
)

// runRedirector runs a control process without a data folder, which has no replica: it
// redirects operators and backend servers to a control process that has one.
func (c *controller) runRedirector(ctx context.Context) error {
	c.common.Log.Warn("No usable data folder; every call is sent on to a control process with one.")
	c.registry = aubregistry.NewRegistry(c.common, registrationTimeout(c.cfg))
	c.registryClient = aubregistry.NewClient(c.ctx, c.common, aubregistry.ClientOpts{
		Process:     c.cfg.Name,
		SelfAddress: c.cfg.Internal.Address(),
		Seeds:       func() []string { return controlSeeds(c.watcher.Settings()) },
		Dial:        c.transport.Dial,
		Registry:    c.registry,
	})
	_, err := c.serveHTTP(httpOpts{
		setting: "registry.listen", listen: c.cfg.Registry.Listen,
		handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.redirect(w, r) }),
	})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return nil
}

// redirect redirects a request to a connected control process.
func (c *controller) redirect(w http.ResponseWriter, r *http.Request) {
	target, ok := redirectTarget(c.registryClient.ConnectedAddresses(), c.cfg.Registry.Listen.String(), rand.IntN)
	if !ok {
		c.common.Log.Warn("No control process to redirect a request to.", zap.String("path", r.URL.Path))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	http.Redirect(w, r, "http://"+target+r.URL.RequestURI(), http.StatusTemporaryRedirect)
}

// redirectTarget draws one of the control processes, so that they share the calls, and
// returns the address at which it serves operators and backend servers. All control
// processes listen for these on the port of ownListen. It returns false if there is none.
func redirectTarget(internalAddresses []string, ownListen string, intN func(n int) int) (string, bool) {
	_, port, err := net.SplitHostPort(ownListen)
	if err != nil || len(internalAddresses) == 0 {
		return "", false
	}
	host, _, err := net.SplitHostPort(internalAddresses[intN(len(internalAddresses))])
	return net.JoinHostPort(host, port), err == nil
}
