package aubprocess

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// redirectSilence is the time without a message after which no call is redirected to a
	// control process. Sound ones send each 250 ms; preferredSilence leaves room for one
	// late message.
	redirectSilence  = time.Second
	preferredSilence = 600 * time.Millisecond
)

// runRedirector runs a control process without a usable data folder, which has no replica:
// it redirects operators and backend servers to a control process that has one. If the
// settings name no data folder, it also tells relays and replicas the addresses of those.
// One whose disk is full does not, because it must not count as a process without a disk.
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
	if c.cfg.Control.DataDir == "" {
		if err := c.serveDirectory(); err != nil {
			return err
		}
		if err := c.servePlatform(); err != nil {
			c.common.Log.Warn("Metrics are not served.", zap.Error(err))
		}
	}
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

// serveDirectory serves the addresses of the control processes with a disk on the internal
// port, and takes part in forming the first cluster.
func (c *controller) serveDirectory() error {
	directory := aubregistry.NewDirectory(c.common, func() []string { return c.registryClient.RespondingAddresses(redirectSilence) })
	aubwire.RegisterRegistryServer(c.grpcServer, directory)
	selfAddress := c.cfg.Internal.Address()
	seedAddresses := controlSeeds(c.cfg)
	seeds := make([]aubconsensus.Peer, 0, len(seedAddresses))
	for _, seed := range seedAddresses {
		seeds = append(seeds, aubconsensus.Peer{Name: seed, Address: seed})
	}
	witness := aubconsensus.NewWitness(c.ctx, c.common, aubconsensus.WitnessOpts{
		Self:      aubconsensus.Peer{Name: selfAddress, Address: selfAddress},
		Seeds:     seeds,
		MayName:   c.cfg.Control.Bootstrap,
		Voters:    2*c.cfg.Control.FaultTolerance + 1,
		Transport: aubconsensus.NewRemoteTransport(c.ctx, c.common, c.transport.Dial, 0),
		OnReplica: directory.AddCaller,
		Replicas:  directory.Addresses,
	})
	aubwire.RegisterConsensusServer(c.grpcServer, aubconsensus.NewWitnessService(witness))
	return c.serveInternal()
}

// redirect redirects a request to a connected control process.
func (c *controller) redirect(w http.ResponseWriter, r *http.Request) {
	addresses := c.registryClient.RespondingAddresses(preferredSilence)
	if len(addresses) == 0 {
		addresses = c.registryClient.RespondingAddresses(redirectSilence)
	}
	target, ok := redirectTarget(addresses, c.cfg.Registry.Listen.String(), rand.IntN)
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
