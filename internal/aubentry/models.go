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

// modelList is OpenAI's list of models.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	// Root is the base model of an adapter; empty for a model.
	Root string `json:"root,omitempty"`
}

// resolvedModel is a model or, if adapter is set, an adapter of that model.
type resolvedModel struct {
	model   aubapi.Model
	adapter string
}

// engineName returns the engine's name of the model or adapter.
func (m resolvedModel) engineName() string {
	if m.adapter != "" {
		return m.adapter
	}
	return m.model.Name
}

func (h *Handler) listModels(ex *exchange) error {
	if err := requireMethod(ex.request, http.MethodGet, http.MethodHead); err != nil {
		return err
	}
	workspace, err := h.authenticate(ex)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: visibleModels(h.deps.Config.Config(), workspace.Name)}
	return writeJSON(ex, list)
}

func (h *Handler) showModel(ex *exchange, name string) error {
	if err := requireMethod(ex.request, http.MethodGet, http.MethodHead); err != nil {
		return err
	}
	workspace, err := h.authenticate(ex)
	if err != nil {
		return err
	}
	resolved, err := resolveModel(h.deps.Config.Config(), workspace.Name, name)
	if err != nil {
		return err
	}
	return writeJSON(ex, newModelObject(resolved))
}

// resolveModel finds a model or adapter that the workspace may use. The refusal for
// one of another workspace is the same as for one that does not exist.
func resolveModel(cfg aubquery.Config, workspace, name string) (resolvedModel, error) {
	if a, ok := cfg.Adapter(name); ok && aubquery.Admits(a.Workspaces, workspace) {
		if m, ok := cfg.Model(a.Model); ok {
			return resolvedModel{model: m, adapter: a.Name}, nil
		}
	}
	if m, ok := cfg.Model(name); ok && aubquery.Admits(m.Workspaces, workspace) {
		return resolvedModel{model: m}, nil
	}
	return resolvedModel{}, refuse(problemUnknownModel)
}

// visibleModels returns the models and adapters that the workspace may use, by name.
func visibleModels(cfg aubquery.Config, workspace string) []modelObject {
	objects := []modelObject{}
	for _, m := range cfg.Models() {
		if aubquery.Admits(m.Workspaces, workspace) {
			objects = append(objects, newModelObject(resolvedModel{model: m}))
		}
	}
	for _, a := range cfg.Adapters() {
		if aubquery.Admits(a.Workspaces, workspace) {
			objects = append(objects, newModelObject(resolvedModel{model: aubapi.Model{Name: a.Model}, adapter: a.Name}))
		}
	}
	slices.SortFunc(objects, func(a, b modelObject) int { return strings.Compare(a.ID, b.ID) })
	return objects
}

func newModelObject(resolved resolvedModel) modelObject {
	o := modelObject{ID: resolved.engineName(), Object: "model", OwnedBy: "auburndale"}
	if resolved.adapter != "" {
		o.Root = resolved.model.Name
	}
	return o
}

// requireMethod returns a refusal unless the request has one of the methods.
func requireMethod(r *http.Request, methods ...string) error {
	if slices.Contains(methods, r.Method) {
		return nil
	}
	return refuse(problemMethodNotAllowed).WithAllow(strings.Join(methods, ", "))
}

func writeJSON(ex *exchange, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	ex.writer.Header().Set("Content-Type", "application/json")
	ex.writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	ex.responseStarted = true
	_, err = ex.writer.Write(data)
	return err
}
