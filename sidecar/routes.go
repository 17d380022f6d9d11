package sidecar

import (
	"net"
	"slices"
	"strings"

	"github.com/cowslipglade/cowslipglade/config"
)

// routeTable maps hosts to their routes, longest path prefix first.
type routeTable map[string][]config.Route

func newRouteTable(d *config.Document) routeTable {
	t := routeTable{}
	for _, route := range d.Routes {
		t[route.Host] = append(t[route.Host], route)
	}
	for _, list := range t {
		slices.SortFunc(list, func(a, b config.Route) int {
			if len(a.PathPrefix) != len(b.PathPrefix) {
				return len(b.PathPrefix) - len(a.PathPrefix)
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
	return t
}

// match returns the route for a request, or nil.
func (t routeTable) match(host, target string) *config.Route {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(target, "?")
	list := t[host]
	for i := range list {
		if strings.HasPrefix(path, list[i].PathPrefix) {
			return &list[i]
		}
	}
	return nil
}

// chooseService returns the service for a request. The services of a split are chosen by weight alone, so
// that the split is kept even while one of them is overloaded.
func chooseService(route *config.Route, random float64) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0.0
	for _, part := range route.Split {
		total += part.Weight
	}
	at := random * total
	for _, part := range route.Split {
		if at < part.Weight {
			return part.Service
		}
		at -= part.Weight
	}
	return route.Split[len(route.Split)-1].Service
}
