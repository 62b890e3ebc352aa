// Package aubprocess assembles the components into the roles that run as processes
// and shuts them down gracefully.
package aubprocess

import (
	"bytes"
	"context"
	"net"
	"os"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubbudget"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmetric"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubtransport"
)

// process holds the components that all roles share.
type process struct {
	common     aubcommon.Common
	cfg        aubsettings.Settings
	metrics    *aubmetric.Metrics
	transport  *aubtransport.Transport
	grpcServer *grpc.Server
	health     *health
	// budget bounds what callers of all listeners hold.
	budget *aubbudget.Budget
	secret []byte
	group  *errgroup.Group
	// ctx is the context of all work of the process. It is canceled at the end of the
	// shutdown.
	ctx    context.Context
	cancel context.CancelFunc
}

// newProcess creates the shared components of a role. The end of ctx only requests a
// graceful shutdown: work is canceled when close is called or a component fails.
func newProcess(ctx context.Context, common aubcommon.Common, cfg aubsettings.Settings) (*process, error) {
	certs, err := newCertificates(common, cfg.Internal.TLS)
	if err != nil {
		return nil, err
	}
	secret, err := readSecret(cfg.SecretFile)
	if err != nil {
		return nil, err
	}
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	group, workCtx := errgroup.WithContext(workCtx)
	metrics := aubmetric.NewMetrics(common.Log, cfg.Name, cfg.Zone)
	transport := aubtransport.NewTransport(certs)
	common = common.WithMetrics(metrics.Scope)
	machine := aubbudget.DetectMachine().WithMemory(cfg.Machine.Memory.Bytes()).WithDescriptors(cfg.Machine.Descriptors)
	machine.LimitHeap()
	common.Log.Info("Budget of the process is set.",
		zap.Int64("memory_bytes", machine.Memory), zap.Int("descriptors", machine.Descriptors),
		zap.Int64("request_bytes", machine.RequestBytes()), zap.Int64("response_bytes", machine.ResponseBytes()),
		zap.Int("caller_connections", machine.CallerConnections()))
	return &process{
		common:     common,
		cfg:        cfg,
		metrics:    metrics,
		transport:  transport,
		grpcServer: transport.NewServer(common),
		health:     newHealth(),
		budget:     aubbudget.NewBudget(workCtx, common, machine),
		secret:     secret,
		group:      group,
		ctx:        workCtx,
		cancel:     cancel,
	}, nil
}

// serveInternal serves gRPC for the site's own processes.
func (p *process) serveInternal() error {
	l, err := listen(p.ctx, "internal.listen", p.cfg.Internal.Listen)
	if err != nil {
		return err
	}
	gate := aubbudget.NewGate(p.budget, aubbudget.ListenerOpts{MaxConnections: p.budget.Machine().CallerConnections(), IsInternal: true})
	p.group.Go(func() error { return p.grpcServer.Serve(aubbudget.NewListener(l, gate)) })
	context.AfterFunc(p.ctx, p.grpcServer.Stop)
	return nil
}

// close cancels all work, waits for it and returns the first error of a component.
func (p *process) close() error {
	p.cancel()
	err := p.group.Wait()
	_ = p.metrics.Close()
	return err
}

// listen opens a TCP listener; setting is the path of the setting that errors name.
func listen(ctx context.Context, setting string, address aubsettings.Address) (*net.TCPListener, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, oops.In("process").Wrapf(err, "setting %s", setting)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, oops.In("process").Errorf("setting %s: no TCP address", setting)
	}
	return tcp, nil
}

func newCertificates(common aubcommon.Common, cfg aubsettings.TLS) (*aubtransport.Certificates, error) {
	return aubtransport.NewCertificates(common, aubtransport.CertOpts{CertFile: cfg.CertFile, KeyFile: cfg.KeyFile, CAFile: cfg.CAFile})
}

// readSecret reads a secret from a file and removes the white space around it. It
// returns nil without a file name.
func readSecret(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, oops.In("process").Wrapf(err, "read secret file")
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return nil, oops.In("process").Errorf("secret file %s is empty", file)
	}
	return data, nil
}
