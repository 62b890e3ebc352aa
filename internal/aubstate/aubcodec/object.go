// Package aubcodec converts configuration objects and tickets to their protobuf
// messages and back.
package aubcodec

import (
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// ObjectsToWire encodes the objects; the version is left out.
func ObjectsToWire(objects aubquery.ConfigObjects) *aubwire.ConfigObjects {
	return &aubwire.ConfigObjects{
		Workspaces: mapEach(objects.Workspaces, workspaceToWire),
		Keys:       mapEach(objects.Keys, keyToWire),
		Models:     mapEach(objects.Models, modelToWire),
		Adapters:   mapEach(objects.Adapters, adapterToWire),
		Routes:     mapEach(objects.Routes, routeToWire),
	}
}

// ObjectsFromWire decodes the objects of the given version.
func ObjectsFromWire(version uint64, objects *aubwire.ConfigObjects) aubquery.ConfigObjects {
	return aubquery.ConfigObjects{
		Version:    version,
		Workspaces: mapEach(objects.GetWorkspaces(), workspaceFromWire),
		Keys:       mapEach(objects.GetKeys(), keyFromWire),
		Models:     mapEach(objects.GetModels(), modelFromWire),
		Adapters:   mapEach(objects.GetAdapters(), adapterFromWire),
		Routes:     mapEach(objects.GetRoutes(), routeFromWire),
	}
}

// ConfigToWire encodes a complete version of the configuration.
func ConfigToWire(c aubquery.Config) *aubwire.ConfigState {
	return &aubwire.ConfigState{Version: c.Version(), Objects: ObjectsToWire(c.Objects())}
}

// ConfigFromWire decodes a complete version of the configuration.
func ConfigFromWire(s *aubwire.ConfigState) aubquery.Config {
	return aubquery.NewConfig(ObjectsFromWire(s.GetVersion(), s.GetObjects()))
}

// IDsToWire encodes object identifiers.
func IDsToWire(ids []aubapi.ObjectID) []*aubwire.ObjectId { return mapEach(ids, IDToWire) }

// IDsFromWire decodes object identifiers.
func IDsFromWire(ids []*aubwire.ObjectId) []aubapi.ObjectID { return mapEach(ids, IDFromWire) }

// IDToWire encodes one object identifier.
func IDToWire(id aubapi.ObjectID) *aubwire.ObjectId {
	return &aubwire.ObjectId{Kind: string(id.Kind), Name: id.Name}
}

// IDFromWire decodes one object identifier.
func IDFromWire(id *aubwire.ObjectId) aubapi.ObjectID {
	return aubapi.ObjectID{Kind: aubapi.Kind(id.GetKind()), Name: id.GetName()}
}

// FaultsToWire encodes faults.
func FaultsToWire(faults []aubapi.Fault) []*aubwire.Fault {
	return mapEach(faults, func(f aubapi.Fault) *aubwire.Fault {
		return &aubwire.Fault{Path: f.Path, Reason: f.Reason}
	})
}

// FaultsFromWire decodes faults.
func FaultsFromWire(faults []*aubwire.Fault) []aubapi.Fault {
	return mapEach(faults, func(f *aubwire.Fault) aubapi.Fault {
		return aubapi.Fault{Path: f.GetPath(), Reason: f.GetReason()}
	})
}

func workspaceToWire(w aubapi.Workspace) *aubwire.Workspace {
	return &aubwire.Workspace{
		Name: w.Name, Rate: w.Rate, Burst: w.Burst, Weight: w.Weight,
		CutOff: string(w.CutOff), CutOffBoundSeconds: w.CutOffBound,
	}
}

func workspaceFromWire(w *aubwire.Workspace) aubapi.Workspace {
	return aubapi.Workspace{
		Name: w.GetName(), Rate: w.GetRate(), Burst: w.GetBurst(), Weight: w.GetWeight(),
		CutOff: aubapi.CutOffMode(w.GetCutOff()), CutOffBound: w.GetCutOffBoundSeconds(),
	}
}

func keyToWire(k aubapi.Key) *aubwire.Key {
	return &aubwire.Key{
		Name: k.Name, Workspace: k.Workspace, Lookup: k.Lookup, Salt: k.Salt, Hash: k.Hash, Withdrawn: k.Withdrawn,
	}
}

func keyFromWire(k *aubwire.Key) aubapi.Key {
	return aubapi.Key{
		Name: k.GetName(), Workspace: k.GetWorkspace(), Lookup: k.GetLookup(),
		Salt: k.GetSalt(), Hash: k.GetHash(), Withdrawn: k.GetWithdrawn(),
	}
}

func modelToWire(m aubapi.Model) *aubwire.Model {
	return &aubwire.Model{
		Name: m.Name, MemoryBytes: m.MemoryBytes, Workspaces: m.Workspaces,
		MaxOutputTokens: m.MaxOutputTokens, BytesPerToken: m.BytesPerToken, Copies: int64(m.Copies),
	}
}

func modelFromWire(m *aubwire.Model) aubapi.Model {
	return aubapi.Model{
		Name: m.GetName(), MemoryBytes: m.GetMemoryBytes(), Workspaces: m.GetWorkspaces(),
		MaxOutputTokens: m.GetMaxOutputTokens(), BytesPerToken: m.GetBytesPerToken(), Copies: int(m.GetCopies()),
	}
}

func adapterToWire(a aubapi.Adapter) *aubwire.Adapter {
	return &aubwire.Adapter{Name: a.Name, Model: a.Model, MemoryBytes: a.MemoryBytes, Workspaces: a.Workspaces}
}

func adapterFromWire(a *aubwire.Adapter) aubapi.Adapter {
	return aubapi.Adapter{
		Name: a.GetName(), Model: a.GetModel(), MemoryBytes: a.GetMemoryBytes(), Workspaces: a.GetWorkspaces(),
	}
}

func routeToWire(r aubapi.Route) *aubwire.Route {
	return &aubwire.Route{
		Name: r.Name, Prefix: r.Prefix, Service: r.Service, Open: r.Open, Idempotent: r.Idempotent,
		Cost: r.Cost, Workspaces: r.Workspaces, TimeoutSeconds: r.TimeoutSeconds,
	}
}

func routeFromWire(r *aubwire.Route) aubapi.Route {
	return aubapi.Route{
		Name: r.GetName(), Prefix: r.GetPrefix(), Service: r.GetService(), Open: r.GetOpen(), Idempotent: r.GetIdempotent(),
		Cost: r.GetCost(), Workspaces: r.GetWorkspaces(), TimeoutSeconds: r.GetTimeoutSeconds(),
	}
}

// mapEach converts every value. It returns nil for an empty list.
func mapEach[A, B any](values []A, convert func(A) B) []B {
	if len(values) == 0 {
		return nil
	}
	converted := make([]B, 0, len(values))
	for _, v := range values {
		converted = append(converted, convert(v))
	}
	return converted
}
