package serve

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
)

// View is a serving configuration made ready for requests. It is not changed
// once made.
type View struct {
	Config *shedkeel.ServingConfig

	routes   map[string][]*shedkeel.Route // by host, longest prefix first
	accounts map[string]*shedkeel.KeyedAccount
	services map[shedkeel.ServiceID]*shedkeel.RoutedService
}

// NewView makes a configuration ready.
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

// Service returns the service of that name, or nil.
func (view *View) Service(id shedkeel.ServiceID) *shedkeel.RoutedService { return view.services[id] }

// route returns the route of the host with the longest prefix of the path.
func (view *View) route(host, path string) *shedkeel.Route {
	for _, route := range view.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// target returns the service for a request of the route. One and the same
// request always gets the same one, by its name, in the routes' shares.
func target(route *shedkeel.Route, name string) shedkeel.ServiceID {
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
	_, _ = hash.Write([]byte(name))
	point := int(hash.Sum32() % uint32(total))
	for _, target := range route.Targets {
		point -= max(target.Weight, 0)
		if point < 0 {
			return target.Service
		}
	}
	return route.Targets[0].Service
}

// keyed reports whether requests of the route need a key.
func (view *View) keyed(route *shedkeel.Route) bool {
	return len(view.Config.Accounts) > 0 && !route.Public
}

// priorityOf returns how urgent a request is; 0 is most urgent.
func priorityOf(route *shedkeel.Route, account *shedkeel.KeyedAccount) int {
	if account != nil && account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}

// Belief is what a process believes to be in force, and since when it has no
// proof that it still is.
type Belief struct {
	View *View // nil: nothing is known
	AsOf time.Duration
}
