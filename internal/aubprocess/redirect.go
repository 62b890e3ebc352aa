package aubprocess

import (
	"context"
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

// redirect redirects a request to a connected control process. All control processes
// listen for requests on the same port.
func (c *controller) redirect(w http.ResponseWriter, r *http.Request) {
	addresses := c.registryClient.ConnectedAddresses()
	_, port, err := net.SplitHostPort(c.cfg.Registry.Listen.String())
	if len(addresses) == 0 || err != nil {
		c.common.Log.Warn("No control process to redirect a request to.", zap.String("path", r.URL.Path), zap.Error(err))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// Addresses in checked settings always split into host and port.
	host, _, _ := net.SplitHostPort(addresses[0])
	http.Redirect(w, r, "http://"+net.JoinHostPort(host, port)+r.URL.RequestURI(), http.StatusTemporaryRedirect)
}
