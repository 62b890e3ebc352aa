package aubcommand

import (
	"fmt"

	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// CheckReferences returns every fault of the ticket that depends on the
// configuration: references to unknown objects, removal of referenced objects, and
// names or prefixes that are already in use.
func CheckReferences(cfg aubquery.Config, t aubapi.Ticket) []aubapi.Fault {
	return checkReferences(cfg, cfg.WithChange(changeOf(cfg, t)), t)
}

// checkReferences checks the ticket against the configurations before (cfg) and after
// (next) its change.
func checkReferences(cfg, next aubquery.Config, t aubapi.Ticket) []aubapi.Fault {
	c := &ticketChecker{}
	for i, k := range t.Keys {
		c.checkWorkspaceExists(next, fmt.Sprintf("keys[%d].workspace", i), k.Workspace)
	}
	for i, m := range t.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.checkWorkspaceList(next, path, m.Workspaces)
		if _, inUse := next.Adapter(m.Name); inUse {
			c.addFault(path+".name", "%q is the name of an adapter; callers could not tell them apart", m.Name)
		}
	}
	for i, a := range t.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		c.checkWorkspaceList(next, path, a.Workspaces)
		if _, ok := next.Model(a.Model); !ok {
			c.addFault(path+".model", "there is no model %q", a.Model)
		}
		if _, inUse := next.Model(a.Name); inUse {
			c.addFault(path+".name", "%q is the name of a model; callers could not tell them apart", a.Name)
		}
	}
	c.checkRoutes(next, t.Routes)
	c.checkRemovals(cfg, next, t.Remove)
	return c.faults
}

func (c *ticketChecker) checkWorkspaceExists(next aubquery.Config, path, name string) {
	if _, ok := next.Workspace(name); !ok {
		c.addFault(path, "there is no workspace %q", name)
	}
}

func (c *ticketChecker) checkWorkspaceList(next aubquery.Config, path string, names []string) {
	for i, name := range names {
		if name != aubapi.AnyWorkspace {
			c.checkWorkspaceExists(next, fmt.Sprintf("%s.workspaces[%d]", path, i), name)
		}
	}
}

func (c *ticketChecker) checkRoutes(next aubquery.Config, routes []aubapi.Route) {
	if len(routes) == 0 {
		return
	}
	routesByPrefix := make(map[string][]string)
	for _, r := range next.Routes() {
		routesByPrefix[r.Prefix] = append(routesByPrefix[r.Prefix], r.Name)
	}
	for i, r := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.checkWorkspaceList(next, path, r.Workspaces)
		for _, routeName := range routesByPrefix[r.Prefix] {
			if routeName != r.Name {
				c.addFault(path+".prefix", "%q is the prefix of route %q", r.Prefix, routeName)
			}
		}
	}
}

func (c *ticketChecker) checkRemovals(cfg, next aubquery.Config, remove []aubapi.ObjectID) {
	if len(remove) == 0 {
		return
	}
	referrers := referrersOf(next)
	for i, id := range remove {
		path := fmt.Sprintf("remove[%d]", i)
		if !exists(cfg, id) {
			c.addFault(path+".name", "there is no %s %q", id.Kind, id.Name)
		}
		for _, referrer := range referrers[id] {
			c.addFault(path+".name", "%s %q is still named by %s %q", id.Kind, id.Name, referrer.Kind, referrer.Name)
		}
	}
}

// referrersOf returns, for every referenced object, the objects that refer to it.
func referrersOf(cfg aubquery.Config) map[aubapi.ObjectID][]aubapi.ObjectID {
	referrers := make(map[aubapi.ObjectID][]aubapi.ObjectID)
	add := func(referrerKind aubapi.Kind, referrer string, kind aubapi.Kind, names ...string) {
		for _, name := range names {
			id := aubapi.ObjectID{Kind: kind, Name: name}
			referrers[id] = append(referrers[id], aubapi.ObjectID{Kind: referrerKind, Name: referrer})
		}
	}
	for _, k := range cfg.AllKeys() {
		add(aubapi.KindKey, k.Name, aubapi.KindWorkspace, k.Workspace)
	}
	for _, m := range cfg.Models() {
		add(aubapi.KindModel, m.Name, aubapi.KindWorkspace, m.Workspaces...)
	}
	for _, a := range cfg.Adapters() {
		add(aubapi.KindAdapter, a.Name, aubapi.KindModel, a.Model)
		add(aubapi.KindAdapter, a.Name, aubapi.KindWorkspace, a.Workspaces...)
	}
	for _, r := range cfg.Routes() {
		add(aubapi.KindRoute, r.Name, aubapi.KindWorkspace, r.Workspaces...)
	}
	return referrers
}

func exists(cfg aubquery.Config, id aubapi.ObjectID) bool {
	var ok bool
	switch id.Kind {
	case aubapi.KindWorkspace:
		_, ok = cfg.Workspace(id.Name)
	case aubapi.KindKey:
		_, ok = cfg.Key(id.Name)
	case aubapi.KindModel:
		_, ok = cfg.Model(id.Name)
	case aubapi.KindAdapter:
		_, ok = cfg.Adapter(id.Name)
	case aubapi.KindRoute:
		for _, r := range cfg.Routes() {
			ok = ok || r.Name == id.Name
		}
	}
	return ok
}
