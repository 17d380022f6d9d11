package config

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"
)

// FindingKind groups findings by what an operator does about them.
type FindingKind string

// Kinds of findings, the gravest first.
const (
	// FindingError is a value that breaks a rule.
	FindingError FindingKind = "error"
	// FindingConflict is a pair of limits that contradict each other.
	FindingConflict FindingKind = "conflict"
	// FindingUnreachable is an entry that no request can ever match.
	FindingUnreachable FindingKind = "unreachable"
	// FindingChange is a difference from the document in force.
	FindingChange FindingKind = "change"
)

var findingOrder = []FindingKind{FindingError, FindingConflict, FindingUnreachable, FindingChange}

// Finding is one result of Inspect.
type Finding struct {
	Kind FindingKind `json:"kind"`
	// Object is the type and name of the entry, such as "route stock".
	Object string `json:"object"`
	Field  string `json:"field,omitempty"`
	Text   string `json:"text"`
}

// maxRefillTime is the longest time in which a burst should refill. A workspace that has used a burst above it is
// limited to its rate for the rest of the day.
const maxRefillTime = 10 * time.Minute

// Inspect checks a document before it is put into force: values that break a rule, limits that contradict each other,
// entries that can never match, and differences from the document in force, which is nil if there is none. Findings are
// ordered by kind and object. The document itself is not changed.
func Inspect(next, inForce *Document) []Finding {
	i := inspector{next: next}
	i.inspectRoutes()
	i.inspectServices()
	i.inspectWorkspaces()
	if inForce != nil {
		i.compare(inForce)
	}
	slices.SortStableFunc(i.findings, func(a, b Finding) int {
		if a.Kind != b.Kind {
			return slices.Index(findingOrder, a.Kind) - slices.Index(findingOrder, b.Kind)
		}
		return strings.Compare(a.Object+"\x00"+a.Field, b.Object+"\x00"+b.Field)
	})
	return i.findings
}

type inspector struct {
	next     *Document
	findings []Finding
}

func (i *inspector) add(kind FindingKind, object, field, format string, args ...any) {
	i.findings = append(i.findings, Finding{kind, object, field, fmt.Sprintf(format, args...)})
}

// require adds an error for each check that does not hold.
func (i *inspector) require(object string, checks ...fieldCheck) {
	for _, c := range checks {
		if !c.holds {
			i.add(FindingError, object, c.field, "%v %s", c.value, c.rule)
		}
	}
}

func (i *inspector) inspectRoutes() {
	type match struct{ host, prefix, methods string }
	first := map[match]string{}
	for _, name := range slices.Sorted(maps.Keys(i.next.Routes)) {
		route := i.next.Routes[name]
		object := "route " + name
		i.require(object,
			fieldCheck{name != "", "name", `""`, "must not be empty"},
			fieldCheck{strings.HasPrefix(route.PathPrefix, "/") && strings.HasSuffix(route.PathPrefix, "/"), "prefix", route.PathPrefix, "must begin and end with a slash"},
			fieldCheck{route.Timeout >= 0, "timeout", route.Timeout, "must not be negative"},
			fieldCheck{route.MaxAttempts >= 0, "attempts", route.MaxAttempts, "must not be negative"},
		)
		if route.Timeout > 0 && route.TargetLatency > route.Timeout {
			i.add(FindingConflict, object, "target latency", "%v is above the timeout %v", route.TargetLatency, route.Timeout)
		}
		i.inspectTargets(object, &route)
		key := match{strings.ToLower(route.Host), route.PathPrefix, strings.Join(slices.Sorted(slices.Values(route.Methods)), " ")}
		if other, taken := first[key]; taken {
			i.add(FindingUnreachable, object, "prefix", "%s on host %q is already matched by route %s, whose name comes first", route.PathPrefix, route.Host, other)
			continue
		}
		first[key] = name
	}
}

// inspectTargets checks the services of a route.
func (i *inspector) inspectTargets(object string, route *Route) {
	known := func(service string) bool {
		_, ok := i.next.Services[service]
		return ok || len(i.next.Services) == 0
	}
	if len(route.Split) == 0 {
		i.require(object, fieldCheck{route.Service != "", "service", `""`, "must not be empty"},
			fieldCheck{route.Service == "" || known(route.Service), "service", route.Service, "is not one of the services"})
		return
	}
	total := 0.0
	for _, part := range route.Split {
		total += max(0, part.Weight)
		i.require(object, fieldCheck{known(part.Service), "split", part.Service, "is not one of the services"},
			fieldCheck{part.Weight >= 0 && !math.IsInf(part.Weight, 0), "split", part.Weight, "must not be negative or infinite"})
		if part.Weight == 0 {
			i.add(FindingUnreachable, object, "split", "the part of service %s has weight 0", part.Service)
		}
	}
	i.require(object, fieldCheck{total > 0, "split", total, "must have a sum of weights above 0"})
}

func (i *inspector) inspectServices() {
	used := map[string]bool{}
	for _, route := range i.next.Routes {
		used[route.Service] = true
		for _, part := range route.Split {
			used[part.Service] = used[part.Service] || part.Weight > 0
		}
	}
	for name, service := range i.next.Services {
		object := "service " + name
		i.require(object, fieldCheck{service.MaxConnections >= 0, "connections", service.MaxConnections, "must not be negative"},
			fieldCheck{service.HealthPath == "" || strings.HasPrefix(service.HealthPath, "/"), "health path", service.HealthPath, "must begin with a slash"})
		if !used[name] {
			i.add(FindingUnreachable, object, "", "no route leads to it")
		}
	}
}

func (i *inspector) inspectWorkspaces() {
	keys := map[string]int{}
	for _, key := range i.next.Keys {
		if _, ok := i.next.Workspaces[key.Workspace]; !ok {
			i.add(FindingError, "key "+key.ID, "workspace", "%s is not one of the workspaces", key.Workspace)
		}
		if !key.Withdrawn {
			keys[key.Workspace]++
		}
	}
	for name, workspace := range i.next.Workspaces {
		object := "workspace " + name
		i.require(object,
			fieldCheck{workspace.Rate >= 0 && !math.IsInf(workspace.Rate, 0), "rate", workspace.Rate, "must not be negative or infinite"},
			fieldCheck{workspace.Burst >= 0, "burst", workspace.Burst, "must not be negative"},
		)
		if workspace.Rate > 0 && workspace.Burst < 1 {
			i.add(FindingConflict, object, "burst", "%d admits no request although the rate is %g/s", workspace.Burst, workspace.Rate)
		}
		if refill := float64(workspace.Burst) / workspace.Rate; workspace.Rate > 0 && refill > maxRefillTime.Seconds() {
			i.add(FindingConflict, object, "rate", "%g/s takes %.0f s to refill the burst of %d", workspace.Rate, refill, workspace.Burst)
		}
		if keys[name] == 0 {
			i.add(FindingUnreachable, object, "", "it has no key")
		}
	}
}

// compare adds the differences from the document in force.
func (i *inspector) compare(inForce *Document) {
	if i.next.Revision <= inForce.Revision {
		i.add(FindingError, "document", "revision", "%d must be above %d, which is in force", i.next.Revision, inForce.Revision)
	}
	compareObjects(i, "route", inForce.Routes, i.next.Routes)
	compareObjects(i, "service", inForce.Services, i.next.Services)
	compareObjects(i, "workspace", inForce.Workspaces, i.next.Workspaces)
	compareObjects(i, "key", keysByID(inForce), keysByID(i.next))
}

// keysByID indexes keys by what identifies them in logs, so that findings name no hash of a key.
func keysByID(d *Document) map[string]Key {
	keys := make(map[string]Key, len(d.Keys))
	for _, key := range d.Keys {
		keys[key.ID] = key
	}
	return keys
}

func compareObjects[T any](i *inspector, kind string, before, after map[string]T) {
	for name, old := range before {
		object := kind + " " + name
		if next, ok := after[name]; ok {
			i.compareFields(object, reflect.ValueOf(old), reflect.ValueOf(next))
			continue
		}
		i.add(FindingChange, object, "", "removed")
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			i.add(FindingChange, kind+" "+name, "", "added")
		}
	}
}

// compareFields adds a finding for each field of a struct that has changed, other than its revision.
func (i *inspector) compareFields(object string, before, after reflect.Value) {
	for n := range before.NumField() {
		field := before.Type().Field(n).Name
		old, next := before.Field(n).Interface(), after.Field(n).Interface()
		if field == "Revision" || reflect.DeepEqual(old, next) {
			continue
		}
		i.add(FindingChange, object, field, "%s becomes %s", fieldText(old), fieldText(next))
	}
}

func fieldText(value any) string {
	v := reflect.ValueOf(value)
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "unset"
		}
		value = v.Elem().Interface()
	}
	if text, ok := value.(string); ok {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprint(value)
}
