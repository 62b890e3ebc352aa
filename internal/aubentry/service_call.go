package aubentry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubheader"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// callService runs a request to a plain service.
func (h *Handler) callService(ctx context.Context, ex *exchange) error {
	if hasDotSegment(ex.request.URL.Path) {
		return refuse(problemInvalidRequest).WithDetail("The path must not contain dot segments.")
	}
	route, ok := h.deps.Config.Config().Route(ex.request.URL.Path)
	if !ok {
		return refuse(problemNotFound)
	}
	workspace, err := h.authorizeRoute(ex, route)
	if err != nil {
		return err
	}
	body, refused := readBody(ex.writer, ex.request, h.bounds.MaxBodyBytes)
	if refused != nil {
		return refused
	}
	if refused := refuseExposedKey(ex, body); refused != nil {
		return refused
	}
	c := h.newServiceCall(ex, route, workspace, body)
	ctx, cancel := context.WithTimeout(ctx, c.deadline.Sub(ex.arrivedAt))
	defer cancel()
	if !c.idempotent && ex.request.Header.Get(headerIdempotencyKey) != "" {
		return h.executeClaimed(ctx, ex, c)
	}
	return h.execute(ctx, ex, c)
}

// authorizeRoute authenticates the caller unless the route is open. The refusal for a
// route that the workspace may not use is the same as for one that does not exist.
func (h *Handler) authorizeRoute(ex *exchange, route aubapi.Route) (aubapi.Workspace, error) {
	if route.Open {
		return aubapi.Workspace{}, nil
	}
	workspace, err := h.authenticate(ex)
	if err != nil {
		return workspace, err
	}
	if !aubquery.Admits(route.Workspaces, workspace.Name) {
		return workspace, refuse(problemNotFound)
	}
	return workspace, nil
}

func (h *Handler) newServiceCall(ex *exchange, route aubapi.Route, workspace aubapi.Workspace, body []byte) call {
	url := *ex.request.URL
	header := ex.request.Header.Clone()
	// The stripper reads the key before any header is removed, because the Connection
	// header may name the one that holds it.
	stripper := aubauth.NewStripper(header, &url)
	aubheader.RemoveHopByHop(header)
	stripper.StripHeader(header)
	stripper.StripURL(&url)
	header.Set(headerRequestID, ex.id)
	header.Del(headerWorkspace)
	if workspace.Name != "" {
		header.Set(headerWorkspace, workspace.Name)
	}
	timeout := h.bounds.RequestTimeout
	if route.TimeoutSeconds > 0 {
		timeout = time.Duration(route.TimeoutSeconds) * time.Second
	}
	return call{
		id:         ex.id,
		workspace:  workspace,
		group:      route.Service,
		service:    route.Service,
		method:     ex.request.Method,
		path:       url.RequestURI(),
		header:     header,
		body:       body,
		digest:     aubpoison.RequestDigest(workspace.Name, ex.request.Method, url.RequestURI(), body),
		cost:       route.Cost,
		idempotent: route.Idempotent,
		deadline:   ex.arrivedAt.Add(timeout),
	}
}

// refuseExposedKey refuses a request that contains its key where it can't be removed:
// in the path, the body or the idempotency key. No backend server may receive a key.
func refuseExposedKey(ex *exchange, body []byte) *refusal {
	stripper := aubauth.NewStripper(ex.request.Header, ex.request.URL)
	switch {
	case stripper.ContainsKey(ex.request.URL.Path):
		return refuse(problemInvalidRequest).WithDetail("The path must not contain the key.")
	case stripper.ContainsKey(ex.request.Header.Get(headerIdempotencyKey)):
		return refuse(problemInvalidRequest).WithDetail("The idempotency key must not contain the key.")
	case stripper.BodyContainsKey(body):
		return refuse(problemInvalidRequest).WithDetail("The body must not contain the key.")
	}
	return nil
}

func hasDotSegment(path string) bool {
	segments := strings.Split(path, "/")
	return slices.Contains(segments, ".") || slices.Contains(segments, "..")
}
