package aubentry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// modelList is the OpenAI list of models.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	// Root is the base model of an adapter.
	Root string `json:"root,omitempty"`
}

// target is what a model name of a request stands for.
type target struct {
	model   aubapi.Model
	adapter string
}

// name returns the name that the engine knows the target by.
func (t target) name() string {
	if t.adapter != "" {
		return t.adapter
	}
	return t.model.Name
}

func (h *Handler) listModels(x *exchange) error {
	if err := allowMethods(x.r, http.MethodGet, http.MethodHead); err != nil {
		return err
	}
	w, err := h.authenticate(x)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: visibleModels(h.parts.Config.Config(), w.Name)}
	return writeJSON(x, list)
}

func (h *Handler) showModel(x *exchange, name string) error {
	if err := allowMethods(x.r, http.MethodGet, http.MethodHead); err != nil {
		return err
	}
	w, err := h.authenticate(x)
	if err != nil {
		return err
	}
	t, err := resolveModel(h.parts.Config.Config(), w.Name, name)
	if err != nil {
		return err
	}
	return writeJSON(x, describeModel(t))
}

// resolveModel finds a model or adapter that the workspace may use. One of
// another workspace gets the same answer as one that does not exist.
func resolveModel(cfg aubquery.Config, workspace, name string) (target, error) {
	if a, ok := cfg.Adapter(name); ok && aubquery.Admits(a.Workspaces, workspace) {
		if m, ok := cfg.Model(a.Model); ok {
			return target{model: m, adapter: a.Name}, nil
		}
	}
	if m, ok := cfg.Model(name); ok && aubquery.Admits(m.Workspaces, workspace) {
		return target{model: m}, nil
	}
	return target{}, refuse(problemUnknownModel)
}

func visibleModels(cfg aubquery.Config, workspace string) []modelObject {
	objects := []modelObject{}
	for _, m := range cfg.Models() {
		if aubquery.Admits(m.Workspaces, workspace) {
			objects = append(objects, describeModel(target{model: m}))
		}
	}
	for _, a := range cfg.Adapters() {
		if aubquery.Admits(a.Workspaces, workspace) {
			objects = append(objects, describeModel(target{model: aubapi.Model{Name: a.Model}, adapter: a.Name}))
		}
	}
	slices.SortFunc(objects, func(a, b modelObject) int { return strings.Compare(a.ID, b.ID) })
	return objects
}

func describeModel(t target) modelObject {
	o := modelObject{ID: t.name(), Object: "model", OwnedBy: "auburndale"}
	if t.adapter != "" {
		o.Root = t.model.Name
	}
	return o
}

func allowMethods(r *http.Request, methods ...string) error {
	if slices.Contains(methods, r.Method) {
		return nil
	}
	return refuse(problemMethod).WithAllow(strings.Join(methods, ", "))
}

func writeJSON(x *exchange, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	x.written = true
	_, err = x.w.Write(data)
	return err
}
