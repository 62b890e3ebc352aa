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

// pick chooses a backend server. A prompt that would join others in prefill waits
// a little: engines that read prompts without a break stall their running answers.
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

// choose asks the router. A model or adapter that no backend server holds is
// asked for.
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
		// The only holder may answer the second time: a lost answer is not a lost
		// backend server.
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

// awaitCopy asks for a copy of the request's model or adapter, and again for a part
// of the objective while a place for an adapter is about to be free.
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

// noteDemand counts a request for a model once, however often it is sent.
func (h *Handler) noteDemand(x *exchange) {
	service, _ := x.site.Service(x.service)
	if service.Engine != nil && x.call.Model != "" {
		h.parts.Demand.Add(aubregistry.ModelName(x.service, x.call.Model), x.call)
	}
}

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

// sharedOf identifies the prompt without its last part, which is the request's or
// its session's own.
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

// prefixesOf hashes the prompt block by block. Kept prefixes belong to one model
// and adapter.
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
