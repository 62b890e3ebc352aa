package aubsite

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Site is a checked revision with lookup indexes. It is immutable.
type Site struct {
	spec Spec
	// routesByHost holds the routes of each host by prefix.
	routesByHost  map[string]map[string]Route
	serviceByName map[string]Service
	// workspaceByKey and workspaceByName hold indexes of spec.Workspaces. Keys are
	// looked up by digest, so that the time of a lookup reveals nothing about a key.
	workspaceByKey  map[[sha256.Size]byte]int
	workspaceByName map[string]int
	// shortestObjectives and shortestPauses hold the shortest objectives of the routes to
	// each service.
	shortestObjectives map[string]time.Duration
	shortestPauses     map[string]time.Duration
}

// New checks a specification and indexes it. Errors are *InvalidError.
func New(spec Spec) (*Site, error) {
	s := &Site{
		spec:            spec,
		routesByHost:    make(map[string]map[string]Route),
		serviceByName:   make(map[string]Service, len(spec.Services)),
		workspaceByKey:  make(map[[sha256.Size]byte]int),
		workspaceByName: make(map[string]int, len(spec.Workspaces)),

		shortestObjectives: make(map[string]time.Duration),
		shortestPauses:     make(map[string]time.Duration),
	}
	for _, service := range spec.Services {
		if _, ok := s.serviceByName[service.Name]; ok || service.Name == "" {
			return nil, &InvalidError{Object: "service " + service.Name, Reason: "has no name or one that is in use"}
		}
		s.serviceByName[service.Name] = service
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
	return s, nil
}

// CallerLimits returns the limits of callers.
func (s *Site) CallerLimits() CallerLimits { return s.spec.Limits }

func (s *Site) addRoute(route Route) error {
	object := "route " + route.Name
	if route.Timeout <= 0 {
		return &InvalidError{Object: object, Reason: "has no timeout"}
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return &InvalidError{Object: object, Reason: "has a prefix that does not begin and end with a slash"}
	}
	if slices.Contains(route.Regions, "") {
		return &InvalidError{Object: object, Reason: "allows a region without a name"}
	}
	totalWeight := 0
	for _, t := range route.Targets {
		if _, ok := s.serviceByName[t.Service]; !ok {
			return &InvalidError{Object: object, Reason: "names the unknown service " + t.Service}
		}
		if t.Weight < 0 {
			return &InvalidError{Object: object, Reason: "has a negative weight"}
		}
		totalWeight += t.Weight
	}
	if totalWeight == 0 {
		return &InvalidError{Object: object, Reason: "has weights that add up to 0"}
	}
	routes := s.routesByHost[route.Host]
	if routes == nil {
		routes = make(map[string]Route)
		s.routesByHost[route.Host] = routes
	}
	if _, ok := routes[route.Prefix]; ok {
		return &InvalidError{Object: object, Reason: "has the host and prefix of another route"}
	}
	routes[route.Prefix] = route
	s.addObjectives(route)
	return nil
}

func (s *Site) addWorkspace(index int, w Workspace) error {
	if _, ok := s.workspaceByName[w.Name]; ok || w.Name == "" {
		return &InvalidError{Object: "workspace " + w.Name, Reason: "has no name or one that is in use"}
	}
	if slices.Contains(w.Regions, "") {
		return &InvalidError{Object: "workspace " + w.Name, Reason: "allows a region without a name"}
	}
	s.workspaceByName[w.Name] = index
	for _, key := range w.Keys {
		digest := sha256.Sum256([]byte(key))
		if owner, ok := s.workspaceByKey[digest]; ok && owner != index {
			return &InvalidError{Object: "workspace " + w.Name, Reason: "shares a key with another workspace"}
		}
		s.workspaceByKey[digest] = index
	}
	return nil
}

// Number returns the revision's number.
func (s *Site) Number() uint64 { return s.spec.Number }

// Route returns the route of the host with the longest prefix that matches the path.
func (s *Site) Route(host, path string) (Route, bool) {
	routes := s.routesByHost[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := routes[path[:end+1]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with the name.
func (s *Site) Service(name string) (Service, bool) {
	service, ok := s.serviceByName[name]
	return service, ok
}

// Services returns all services.
func (s *Site) Services() []Service { return slices.Clone(s.spec.Services) }

// HasWorkspaces reports whether workspaces are configured. Without workspaces no
// request needs a key.
func (s *Site) HasWorkspaces() bool { return len(s.spec.Workspaces) > 0 }

// Workspace returns the workspace with the name.
func (s *Site) Workspace(name string) (Workspace, bool) {
	i, ok := s.workspaceByName[name]
	if !ok {
		return Workspace{}, false
	}
	return s.spec.Workspaces[i], true
}

// WorkspaceByKey returns the workspace that owns the key.
func (s *Site) WorkspaceByKey(key string) (Workspace, bool) {
	i, ok := s.workspaceByKey[sha256.Sum256([]byte(key))]
	if !ok {
		return Workspace{}, false
	}
	return s.spec.Workspaces[i], true
}
