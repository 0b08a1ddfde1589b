package main

const (
	hostName = "jepu9.example"
	tenant   = "bozi300"
	apiKey   = "jnbanfqasnmgkcuyj8pj"
	// Names of services and of the model.
	bookingsService = "bookings-app"
	engineService   = "lm-fleet"
	originService   = "dispatch-app"
	modelName       = "daka510000"
	// Sizes of the weights.
	layerCount, chunkCount, chunkBytes = 16, 64, 32768
)

// config is a configuration as the operator writes it.
type config struct {
	Version  int64
	Routes   []route
	Services []map[string]any
	Limits   map[string]int
	Tenants  []configTenant
}

type route struct {
	Name, Host, PathPrefix, Kind, Service                       string
	TimeoutMs, TargetLatencyMs, TargetGapMs, Priority, Attempts int
	AllowAnonymous, StickySessions, Resumable                   bool
}

type configTenant struct {
	Name     string
	APIKeys  []string `json:"ApiKeys"`
	Priority int
}

func newConfig(routes []route, services ...map[string]any) config {
	return config{
		Version: 7, Routes: routes, Services: services,
		Limits:  map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		Tenants: []configTenant{{Name: tenant, APIKeys: []string{apiKey}, Priority: 1}},
	}
}

// plainRoute returns a route of a plain service, with the times of escort-book and booking-read.
func plainRoute(name, prefix, kind, service string) route {
	return route{Name: name, Host: hostName, PathPrefix: prefix, Kind: kind, Service: service, TimeoutMs: 2500, TargetLatencyMs: 150, Priority: 2, Attempts: 2}
}

func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "ConnectionLimit": 110, "Protocol": "h1", "Tls": false}
}

// engineServices returns the services of a configuration with model engines and the origin of their weights.
func engineServices(originAddress string) []map[string]any {
	return []map[string]any{
		{"Name": engineService, "HealthPath": "/health", "ConnectionLimit": 364, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
			"Slots": 16, "KvCacheTokens": 317000, "KvTokenBytes": 262144, "Stride": 5, "Models": []map[string]any{{"Name": modelName, "pace": 1.0, "LoadS": 4.0, "WarmS": 0.3}},
			"SizeMb": 149000.0, "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0,
			"usual": map[string]int{"prompt": 979, "answer": 92}, "layers": layerCount, "layer_mb": 4090.0, "Chunks": chunkCount, "ChunkBytes": chunkBytes,
		}},
		{"Name": originService, "Origin": originAddress, "Zone": zones[0], "LinkMbps": 9.9, "ConnectionLimit": 48},
	}
}
