package serve

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
)

// View is a serving configuration, indexed for request handling. It is immutable.
type View struct {
	Config *shedkeel.ServingConfig

	routes   map[string][]*shedkeel.Route      // by host, longest prefix first
	accounts map[string]*shedkeel.KeyedAccount // by key
	services map[shedkeel.ServiceID]*shedkeel.RoutedService
}

// NewView indexes a configuration. The view keeps pointers into the configuration, so the
// caller must not change the configuration afterwards.
func NewView(config *shedkeel.ServingConfig) *View {
	view := &View{
		Config: config, routes: map[string][]*shedkeel.Route{},
		accounts: map[string]*shedkeel.KeyedAccount{}, services: map[shedkeel.ServiceID]*shedkeel.RoutedService{},
	}
	for index := range config.Routes {
		route := &config.Routes[index]
		view.routes[route.Host] = append(view.routes[route.Host], route)
	}
	for _, routes := range view.routes {
		slices.SortFunc(routes, func(a, b *shedkeel.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for index := range config.Accounts {
		account := &config.Accounts[index]
		for _, key := range account.Keys {
			view.accounts[key] = account
		}
	}
	for index := range config.Services {
		view.services[config.Services[index].ID] = &config.Services[index]
	}
	return view
}

// Service returns the service with the ID, or nil.
func (view *View) Service(id shedkeel.ServiceID) *shedkeel.RoutedService { return view.services[id] }

// route returns the host's route whose prefix is the longest that matches the path, or
// nil.
func (view *View) route(host, path string) *shedkeel.Route {
	for _, route := range view.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// targetService returns the service for a request of the route, or "" if the route has
// no targets. It hashes the request ID and picks a target in proportion to the
// weights, so that the same ID always gets the same service. A weight below 0 counts as 0. If
// no weight is above 0, it returns the service of the first target.
func targetService(route *shedkeel.Route, requestID string) shedkeel.ServiceID {
	total := 0
	for _, target := range route.Targets {
		total += max(target.Weight, 0)
	}
	if total == 0 {
		if len(route.Targets) == 0 {
			return ""
		}
		return route.Targets[0].Service
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(requestID))
	point := int(hash.Sum32() % uint32(total))
	for _, target := range route.Targets {
		point -= max(target.Weight, 0)
		if point < 0 {
			return target.Service
		}
	}
	return route.Targets[0].Service
}

// needsKey reports whether requests of the route need a key: the route is not public, and the
// configuration has client accounts.
func (view *View) needsKey(route *shedkeel.Route) bool {
	return len(view.Config.Accounts) > 0 && !route.Public
}

// requestPriority returns the priority of a request; 0 is most urgent. The priority of
// the client account, if it has one, overrides that of the route.
func requestPriority(route *shedkeel.Route, account *shedkeel.KeyedAccount) int {
	if account != nil && account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}

// ConfigState is the configuration that a process serves by, and when that configuration was
// last proven to be current.
type ConfigState struct {
	View     *View         // nil: no configuration has been received yet
	ProvenAt time.Duration // when View was last proven to be current
}
