package aubrelay

import (
	"context"
	"errors"
	"hash/maphash"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// selectBackend chooses a backend server. While the prompts that wait for prefill
// there and this one together exceed maxPrefillRunTokens, it delays the choice, up to
// a fraction of the objective: an engine that prefills without a break stalls its
// running responses.
func (h *Handler) pick(ctx context.Context, x *exchange) (aubroute.Choice, error) {
	request := h.routeRequest(x)
	latest := h.common.Timer.Now().Add(x.route.Objective / waitShare)
	for {
		choice, err := h.choose(ctx, x, request)
		isCrowded := err == nil && choice.Waiting > 0 && choice.Waiting+choice.Uncached > prefillRun
		if !isCrowded || !h.common.Timer.Now().Before(latest) {
			return choice, err
		}
		if err := aubtimer.Wait(ctx, h.common.Timer, pacingInterval); err != nil {
			return choice, err
		}
	}
}

// routeOrPlace picks a backend server with the router. If no backend server holds the
// model or adapter, it requests a copy first and picks again.
func (h *Handler) choose(ctx context.Context, x *exchange, request aubroute.Request) (aubroute.Choice, error) {
	if err := ctx.Err(); err != nil {
		return aubroute.Choice{}, err
	}
	choice, err := h.parts.Router.Pick(request)
	var none *aubroute.NoBackendError
	if !errors.As(err, &none) {
		return choice, err
	}
	if len(x.excluded) > 0 {
		// The only holder may succeed at the next attempt: a lost response does not mean
		// that the backend server is lost.
		request.Exclude = nil
		return h.parts.Router.Pick(request)
	}
	if request.Service != "" {
		return choice, err
	}
	if err := h.awaitCopy(ctx, x); err != nil {
		return choice, err
	}
	return h.parts.Router.Pick(request)
}

// awaitCopy requests a copy of the request's model or adapter. While the response says
// that an adapter slot becomes free within maxSlotRetryAfter, it repeats the request,
// up to a fraction of the objective.
func (h *Handler) awaitCopy(ctx context.Context, x *exchange) error {
	latest := h.common.Timer.Now().Add(x.route.Objective/waitShare - askInterval)
	for {
		err := h.parts.Copies.Await(ctx, x.service, x.call.Model, x.call.Adapter)
		var none *aubroute.NoBackendError
		isSoon := errors.As(err, &none) && none.RetryAfter <= soonFree
		if !isSoon || h.common.Timer.Now().After(latest) {
			return err
		}
		if err := aubtimer.Wait(ctx, h.common.Timer, askInterval); err != nil {
			return err
		}
	}
}

// recordDemand counts a request for a model once, regardless of its number of attempts.
func (h *Handler) noteDemand(x *exchange) {
	service, _ := x.site.Service(x.service)
	if service.Engine != nil && x.call.Model != "" {
		h.parts.Demand.Add(aubregistry.ModelName(x.service, x.call.Model), x.call)
	}
}

// routeRequest describes the request for the router.
func (h *Handler) routeRequest(x *exchange) aubroute.Request {
	request := aubroute.Request{Exclude: x.excluded, PromptTokens: x.call.PromptTokens, Budget: x.service}
	service, _ := x.site.Service(x.service)
	if service.Engine == nil || x.call.Model == "" {
		request.Service = x.service
		return request
	}
	request.Model = aubregistry.ModelName(x.service, x.call.Model)
	if x.call.Adapter != "" {
		request.Adapter = aubregistry.AdapterName(x.service, x.call.Model, x.call.Adapter)
	}
	request.Prefixes = prefixesOf(x.call)
	request.Shared, request.SharedTokens = sharedOf(x.call)
	return request
}

// sharedPrompt returns the hash and the number of tokens of the prompt without its last
// part, which is specific to the request or its session. The hash has no random seed, so
// it is equal in all processes.
func sharedOf(call Call) (id uint64, tokens int64) {
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
// between them.
func prefixesOf(call Call) []uint64 {
	var hash maphash.Hash
	hash.SetSeed(prefixSeed)
	_, _ = hash.WriteString(call.Model + "/" + call.Adapter)
	var prefixes []uint64
	for _, part := range call.Prompt {
		_, _ = hash.WriteString(part.ID)
		for range max(part.Tokens/PrefixBlockTokens, 1) {
			_ = hash.WriteByte(0)
			prefixes = append(prefixes, hash.Sum64())
		}
	}
	return prefixes
}
