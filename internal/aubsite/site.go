package aubsite

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
)

// Site is a checked revision with its indexes. It is immutable.
type Site struct {
	spec     Spec
	hosts    map[string][]Route
	services map[string]Service
	// keys is indexed by digest, so that a look-up takes the same time for every key.
	keys       map[[sha256.Size]byte]int
	workspaces map[string]int
}

// New checks a specification and indexes it. Errors are *InvalidError.
func New(spec Spec) (*Site, error) {
	s := &Site{
		spec:       spec,
		hosts:      make(map[string][]Route),
		services:   make(map[string]Service, len(spec.Services)),
		keys:       make(map[[sha256.Size]byte]int),
		workspaces: make(map[string]int, len(spec.Workspaces)),
	}
	for _, service := range spec.Services {
		if _, ok := s.services[service.Name]; ok || service.Name == "" {
			return nil, &InvalidError{Object: "service " + service.Name, Reason: "has no name or one that is in use"}
		}
		s.services[service.Name] = service
	}
	for _, route := range spec.Routes {
		if err := s.addRoute(route); err != nil {
			return nil, err
		}
	}
	for i, w := range spec.Workspaces {
		if err := s.addWorkspace(i, w); err != nil {
			return nil, err
		}
	}
	for _, routes := range s.hosts {
		slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return s, nil
}

func (s *Site) addRoute(route Route) error {
	object := "route " + route.Name
	if route.Timeout <= 0 {
		return &InvalidError{Object: object, Reason: "has no timeout"}
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return &InvalidError{Object: object, Reason: "has a prefix that does not begin and end with a slash"}
	}
	sum := 0
	for _, t := range route.Targets {
		if _, ok := s.services[t.Service]; !ok {
			return &InvalidError{Object: object, Reason: "names the unknown service " + t.Service}
		}
		if t.Weight < 0 {
			return &InvalidError{Object: object, Reason: "has a negative weight"}
		}
		sum += t.Weight
	}
	if sum == 0 {
		return &InvalidError{Object: object, Reason: "has weights that add up to 0"}
	}
	if slices.ContainsFunc(s.hosts[route.Host], func(r Route) bool { return r.Prefix == route.Prefix }) {
		return &InvalidError{Object: object, Reason: "has the host and prefix of another route"}
	}
	s.hosts[route.Host] = append(s.hosts[route.Host], route)
	return nil
}

func (s *Site) addWorkspace(i int, w Workspace) error {
	if _, ok := s.workspaces[w.Name]; ok || w.Name == "" {
		return &InvalidError{Object: "workspace " + w.Name, Reason: "has no name or one that is in use"}
	}
	s.workspaces[w.Name] = i
	for _, key := range w.Keys {
		digest := sha256.Sum256([]byte(key))
		if other, ok := s.keys[digest]; ok && other != i {
			return &InvalidError{Object: "workspace " + w.Name, Reason: "shares a key with another workspace"}
		}
		s.keys[digest] = i
	}
	return nil
}

// Number returns the revision's number.
func (s *Site) Number() uint64 { return s.spec.Number }

// Route returns the route of the host with the longest prefix of the path.
func (s *Site) Route(host, path string) (Route, bool) {
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service of the name.
func (s *Site) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns all services.
func (s *Site) Services() []Service { return slices.Clone(s.spec.Services) }

// HasWorkspaces reports whether requests need a key at all.
func (s *Site) HasWorkspaces() bool { return len(s.spec.Workspaces) > 0 }

// Workspace returns the workspace of the name.
func (s *Site) Workspace(name string) (Workspace, bool) {
	i, ok := s.workspaces[name]
	if !ok {
		return Workspace{}, false
	}
	return s.spec.Workspaces[i], true
}

// Holder returns the workspace that the key belongs to.
func (s *Site) Holder(key string) (Workspace, bool) {
	i, ok := s.keys[sha256.Sum256([]byte(key))]
	if !ok {
		return Workspace{}, false
	}
	return s.spec.Workspaces[i], true
}
