package aubcommand

import (
	"fmt"

	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// CheckReferences returns every fault of the ticket that shows only against the
// configuration: names that lead nowhere, objects that are still referenced and
// names or prefixes that are taken.
func CheckReferences(cfg aubquery.Config, t aubapi.Ticket) []aubapi.Fault {
	return checkReferences(cfg, cfg.WithChange(changeOf(cfg, t)), t)
}

// checkReferences checks the ticket against the configuration before and after it.
func checkReferences(cfg, next aubquery.Config, t aubapi.Ticket) []aubapi.Fault {
	c := &checker{}
	for i, k := range t.Keys {
		c.checkWorkspaceExists(next, fmt.Sprintf("keys[%d].workspace", i), k.Workspace)
	}
	for i, m := range t.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.checkWorkspaceList(next, path, m.Workspaces)
		if _, taken := next.Adapter(m.Name); taken {
			c.add(path+".name", "%q is the name of an adapter; callers could not tell them apart", m.Name)
		}
	}
	for i, a := range t.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		c.checkWorkspaceList(next, path, a.Workspaces)
		if _, ok := next.Model(a.Model); !ok {
			c.add(path+".model", "there is no model %q", a.Model)
		}
		if _, taken := next.Model(a.Name); taken {
			c.add(path+".name", "%q is the name of a model; callers could not tell them apart", a.Name)
		}
	}
	c.checkRoutes(next, t.Routes)
	c.checkRemovals(cfg, next, t.Remove)
	return c.faults
}

func (c *checker) checkWorkspaceExists(next aubquery.Config, path, name string) {
	if _, ok := next.Workspace(name); !ok {
		c.add(path, "there is no workspace %q", name)
	}
}

func (c *checker) checkWorkspaceList(next aubquery.Config, path string, names []string) {
	for i, name := range names {
		if name != aubapi.AnyWorkspace {
			c.checkWorkspaceExists(next, fmt.Sprintf("%s.workspaces[%d]", path, i), name)
		}
	}
}

func (c *checker) checkRoutes(next aubquery.Config, routes []aubapi.Route) {
	if len(routes) == 0 {
		return
	}
	holders := make(map[string][]string)
	for _, r := range next.Routes() {
		holders[r.Prefix] = append(holders[r.Prefix], r.Name)
	}
	for i, r := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.checkWorkspaceList(next, path, r.Workspaces)
		for _, holder := range holders[r.Prefix] {
			if holder != r.Name {
				c.add(path+".prefix", "%q is the prefix of route %q", r.Prefix, holder)
			}
		}
	}
}

func (c *checker) checkRemovals(cfg, next aubquery.Config, remove []aubapi.ObjectID) {
	if len(remove) == 0 {
		return
	}
	users := usersOf(next)
	for i, id := range remove {
		path := fmt.Sprintf("remove[%d]", i)
		if !exists(cfg, id) {
			c.add(path+".name", "there is no %s %q", id.Kind, id.Name)
		}
		for _, user := range users[id] {
			c.add(path+".name", "%s %q is still named by %s %q", id.Kind, id.Name, user.Kind, user.Name)
		}
	}
}

// usersOf returns, for every referenced object, the objects that name it.
func usersOf(cfg aubquery.Config) map[aubapi.ObjectID][]aubapi.ObjectID {
	users := make(map[aubapi.ObjectID][]aubapi.ObjectID)
	add := func(userKind aubapi.Kind, user string, kind aubapi.Kind, names ...string) {
		for _, name := range names {
			id := aubapi.ObjectID{Kind: kind, Name: name}
			users[id] = append(users[id], aubapi.ObjectID{Kind: userKind, Name: user})
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
	return users
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
