package aubrelay

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// placeTimeout limits one request for a copy.
const placeTimeout = 600 * time.Millisecond

// PlaceFunc requests a copy from a control process, which forwards the request to the
// control leader unless it is the leader.
type PlaceFunc func(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error)

// CopyRequester requests copies of models and adapters that no backend server holds.
// Concurrent requests for the same model or adapter share one call.
type CopyRequester struct {
	common   aubcommon.Common
	registry *aubregistry.Registry
	place    PlaceFunc
	inFlight singleflight.Group
}

// NewCopyRequester returns a requester that calls place and records granted copies in the
// registry.
func NewCopyRequester(common aubcommon.Common, registry *aubregistry.Registry, place PlaceFunc) *CopyRequester {
	return &CopyRequester{common: common.WithPart("copies"), registry: registry, place: place}
}

// Await requests a copy, at a backend server of the software version if there is one and in one of
// the regions if there are any, and returns nil if a backend server then holds the model or adapter. Otherwise the error is *aubroute.NoBackendError with the time to retry.
func (c *CopyRequester) Await(ctx context.Context, service, model, adapter string, software auboption.Option[string], regions []string) error {
	name := aubregistry.AdapterName(service, model, adapter)
	req := &aubwire.PlaceRequest{Service: service, Model: model, Adapter: adapter, Regions: regions}
	key := name
	if version, isBound := software.Get(); isBound {
		req.Software = &version
		key += "@" + version
	}
	if len(regions) > 0 {
		key += "#" + strings.Join(regions, "#")
	}
	result := c.inFlight.DoChan(key, func() (any, error) { return c.requestCopy(ctx, req) })
	select {
	case placed := <-result:
		resp, _ := placed.Val.(*aubwire.PlaceResponse)
		if placed.Err == nil && resp.GetBackend() != "" {
			c.registry.AddCopy(resp.GetBackend(), service, model, adapter)
			return nil
		}
		return newNoBackendError(name, resp)
	case <-ctx.Done():
		return newNoBackendError(name, nil)
	}
}

// newNoBackendError returns an error with the response's time to retry, or
// defaultRetryAfter if the response is nil or has none.
func newNoBackendError(name string, resp *aubwire.PlaceResponse) error {
	retryAfter := time.Duration(resp.GetRetryAfterMs()) * time.Millisecond
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	return &aubroute.NoBackendError{Name: name, Known: true, RetryAfter: retryAfter}
}

// requestCopy calls place with a timeout of placeTimeout and logs the result.
func (c *CopyRequester) requestCopy(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
	// The call is shared, so it must not end with the context of the first caller.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), placeTimeout)
	defer cancel()
	resp, err := c.place(ctx, req)
	c.common.Log.Info("Copy asked for.",
		zap.String("service", req.GetService()), zap.String("model", req.GetModel()), zap.String("adapter", req.GetAdapter()), zap.Stringp("software", req.Software), zap.Strings("regions", req.GetRegions()),
		zap.String("backend_server", resp.GetBackend()), zap.Int64("retry_after_ms", resp.GetRetryAfterMs()), zap.Error(err))
	return resp, err
}
