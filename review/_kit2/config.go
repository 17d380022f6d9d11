package main

import (
	"encoding/json"
)

type route struct {
	Name           string  `json:"name"`
	Host           string  `json:"host"`
	Prefix         string  `json:"prefix"`
	Kind           string  `json:"kind"`
	TimeoutS       float64 `json:"timeoutS"`
	TargetLatencyS float64 `json:"targetLatencyS"`
	Priority       int     `json:"priority"`
	Service        string  `json:"service"`
	MaxAttempts    int     `json:"maxAttempts"`
	AuthExempt     bool    `json:"authExempt"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
	RatePerS float64  `json:"ratePerS"`
	Burst    float64  `json:"burst"`
}

// configuration returns a document of the operator.
func configuration(version string, services []string, routes []route, tenants []tenant) []byte {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 1150, "protocol": "h1", "tls": false})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	return data
}
