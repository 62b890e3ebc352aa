package main

import "strings"

const (
	plainService = "xano55b"
	otherService = "dele69a"
	pathConfirm  = "/confirm/2f"
	pathRead     = "/read/2f"
	pathDraft    = "/draft/2f"
)

// plainConfiguration has an unsafe and a safe route to a plain service, and a second plain service.
const plainConfiguration = `{"version":7,"routes":[
{"name":"r-confirm","host":"wuny96.example","path_prefix":"/confirm/","route_kind":"unsafe","timeout_ms":4000,"slo_ms":300,"priority":2,"service":"xano55b","max_attempts":1,"anonymous":false,"sticky":false,"resumable":false},
{"name":"r-read","host":"wuny96.example","path_prefix":"/read/","route_kind":"safe","timeout_ms":4000,"slo_ms":300,"priority":2,"service":"xano55b","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false}],
"services":[{"name":"xano55b","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false},{"name":"dele69a","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

// movedConfiguration is the next version of the configuration, which moves all routes to the
// second service.
func movedConfiguration(configuration string) string {
	return strings.NewReplacer(`"version":7`, `"version":9`, `"service":"xano55b"`, `"service":"dele69a"`).Replace(configuration)
}
