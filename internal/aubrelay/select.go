package aubrelay

import (
	"context"
	"errors"
	"hash/maphash"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// selectBackend chooses a backend server whose rate limit admits the request. While the prompts that wait for prefill
// there and this one together exceed prefillRunLimit, it delays the choice, up to
// a fraction of the objective: an engine that prefills without a break stalls its
// running responses.
func (h *Handler) selectBackend(ctx context.Context, ex *exchange) (aubroute.Choice, error) {
	request := h.newRouteRequest(ex)
	waitDeadline := h.common.Timer.Now().Add(ex.route.Objective / waitDivisor)
	if h.startAdmission(ex); ex.admission != nil {
		request.SampleLimit = admissionSample
	}
	defer h.leaveQueue(ex)
	for {
		choice, err := h.routeOrPlace(ctx, ex, request)
		if err == nil && ex.admission != nil {
			isAdmitted, err := h.admitToBackend(ctx, ex, choice)
			if err != nil {
				return choice, err
			}
			if !isAdmitted {
				continue
			}
		}
		exceedsPrefillRun := err == nil && choice.PendingTokens > 0 && choice.PendingTokens+choice.UncachedTokens > h.prefillRunLimit(ex, choice)
		if !exceedsPrefillRun || !h.common.Timer.Now().Before(waitDeadline) {
			if err == nil && !h.claim(ex, choice) {
				continue
			}
			return choice, err
		}
		if err := aubtimer.Wait(ctx, h.common.Timer, prefillPollInterval); err != nil {
			return choice, err
		}
	}
}

// claim takes a place and a send of the rate limit at the chosen backend server; false if other
// requests took them since the choice.
func (h *Handler) claim(ex *exchange, choice aubroute.Choice) bool {
	if ex.admission != nil && !choice.Reserve() {
		h.metrics.takenPlaces.Inc(1)
		return false
	}
	if !h.opts.Throttle.Take(ex.call.ID, throttledBackend(choice)) {
		choice.Cancel()
		return false
	}
	return true
}

// routeOrPlace picks a backend server with the router. If no backend server holds the
// model or adapter, it requests a copy first and picks again.
func (h *Handler) routeOrPlace(ctx context.Context, ex *exchange, request aubroute.Request) (aubroute.Choice, error) {
	if err := ctx.Err(); err != nil {
		return aubroute.Choice{}, err
	}
	choice, err := h.opts.Router.Pick(request)
	if err == nil && choice.IsLastResort && request.Adapter != "" {
		// A copy of the model in another zone may load the adapter at once.
		_ = h.awaitCopy(ctx, ex)
		return h.opts.Router.Pick(request)
	}
	var noBackend *aubroute.NoBackendError
	if !errors.As(err, &noBackend) {
		return choice, err
	}
	if !h.hasBackendInRegions(ex) {
		return choice, newRefusal(http.StatusServiceUnavailable, CodeNoAllowedRegion, emptyRegionRetryAfter)
	}
	if len(ex.excludedBackends) > 0 {
		// The only holder may succeed at the next attempt: a lost response does not mean
		// that the backend server is lost.
		request.Exclude = nil
		return h.opts.Router.Pick(request)
	}
	if request.Service != "" || noBackend.Limited != "" && request.Adapter == "" {
		return choice, err
	}
	if err := h.awaitCopy(ctx, ex); err != nil {
		return choice, err
	}
	return h.opts.Router.Pick(request)
}

// awaitCopy requests a copy of the request's model or adapter. While the response says
// that an adapter slot becomes free within maxSlotRetryAfter, it repeats the request,
// up to a fraction of the objective.
func (h *Handler) awaitCopy(ctx context.Context, ex *exchange) error {
	waitDeadline := h.common.Timer.Now().Add(ex.route.Objective/waitDivisor - slotPollInterval)
	for {
		err := h.opts.CopyRequester.Await(ctx, ex.service, ex.call.Model, ex.call.Adapter, ex.requiredSoftware, ex.regions)
		var noBackend *aubroute.NoBackendError
		isSlotFreeSoon := errors.As(err, &noBackend) && noBackend.RetryAfter <= maxSlotRetryAfter
		if !isSlotFreeSoon || h.common.Timer.Now().After(waitDeadline) {
			return err
		}
		if err := aubtimer.Wait(ctx, h.common.Timer, slotPollInterval); err != nil {
			return err
		}
	}
}

// recordDemand counts a request for a model once, regardless of its number of attempts. Callers may name
// any number of models and adapters; only those of the configuration are reported.
func (h *Handler) recordDemand(ex *exchange) {
	service, _ := ex.site.Service(ex.service)
	if service.Lists(ex.call.Model, ex.call.Adapter) {
		h.opts.Demand.Add(aubregistry.ModelName(ex.service, ex.call.Model), ex.call)
	}
}

// newRouteRequest returns the request to the router for a backend server.
func (h *Handler) newRouteRequest(ex *exchange) aubroute.Request {
	request := aubroute.Request{Exclude: ex.excludedBackends, PromptTokens: ex.call.PromptTokens, RetryBudget: ex.service, Software: ex.requiredSoftware, Regions: ex.regions}
	if h.opts.ZoneShare > 0 && h.opts.Deferrable.Has(ex.site) {
		request.ZoneTolerance = time.Duration(h.opts.ZoneShare * float64(ex.route.Objective))
	}
	service, _ := ex.site.Service(ex.service)
	if service.Engine == nil || ex.call.Model == "" {
		request.Service = ex.service
		return request
	}
	request.Model = aubregistry.ModelName(ex.service, ex.call.Model)
	if ex.call.Adapter != "" {
		request.Adapter = aubregistry.AdapterName(ex.service, ex.call.Model, ex.call.Adapter)
	}
	request.PrefixHashes = prefixHashes(ex.call)
	request.SharedHash, request.SharedTokens = sharedPrompt(ex.call)
	return request
}

// sharedPrompt returns the hash and the number of tokens of the prompt without its last
// part, which is specific to the request or its session. The hash has no random seed, so
// it is equal in all processes.
func sharedPrompt(call Call) (sharedHash uint64, tokens int64) {
	hash := xxhash.New()
	_, _ = hash.WriteString(call.Model + "/" + call.Adapter)
	for i, part := range call.Prompt {
		if i == len(call.Prompt)-1 {
			break
		}
		_, _ = hash.WriteString("/" + part.ID)
		tokens += part.Tokens
	}
	return hash.Sum64(), tokens
}

// prefixHashes returns one rolling hash for each block of PrefixBlockTokens tokens. The
// hash covers the model and the adapter, because engines don't share cached prefixes
// between them. Callers may declare any number of tokens, so there are at most maxPrefixBlocks.
func prefixHashes(call Call) []uint64 {
	var hash maphash.Hash
	hash.SetSeed(prefixSeed)
	_, _ = hash.WriteString(call.Model + "/" + call.Adapter)
	var prefixes []uint64
	for _, part := range call.Prompt {
		_, _ = hash.WriteString(part.ID)
		for range max(part.Tokens/PrefixBlockTokens, 1) {
			if len(prefixes) == maxPrefixBlocks {
				return prefixes
			}
			_ = hash.WriteByte(0)
			prefixes = append(prefixes, hash.Sum64())
		}
	}
	return prefixes
}
