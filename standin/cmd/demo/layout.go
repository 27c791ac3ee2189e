package main

import (
	"fmt"
)

const (
	zonesPerDeployment = 3
	vmsPerZone         = 8

	trafficPort  = 8443
	linkPort     = 7400
	announcePort = 7401
	adminPort    = 7402
	metricsPort  = 7403
	backendPort  = 9000
	platformPort = 7600
)

// service is a service with its number of backend servers.
type service struct {
	name     string
	backends int
}

// layout describes one deployment.
type layout struct {
	name     string
	region   string
	network  int // second octet of the loopback addresses
	zones    [zonesPerDeployment]string
	services []service
	// tls is set if links between nodes and connections of callers use TLS.
	tls bool
	// traffic describes the requests of the callers.
	traffic trafficProfile
}

// trafficProfile describes the load on a deployment.
type trafficProfile struct {
	kinds []requestKind
	// http1Rates and http2Rates are the request rates by team, in requests per second,
	// over HTTP/1.1 and HTTP/2.
	http1Rates, http2Rates map[string]float64
	// overRateTeam exceeds its rate limit, which no step changes.
	overRateTeam string
	// revokedTeam is the team whose key is revoked during the run.
	revokedTeam string
	// changedTeam is the team whose rate limit changes during the run.
	changedTeam string
	// openPath is the path of a route that requires no key.
	openPath string
}

// requestKind is a kind of request.
type requestKind struct {
	method, path string
	share        float64
	open         bool
}

// vm is a simulated VM: a loopback address with a node and a backend server.
type vm struct {
	name    string // name of the node
	address string
	zone    string
	service string
	backend string // name of the backend server
}

func ffonLayout(network int) layout {
	return layout{
		name: "ffon", region: "cymru-south", network: network,
		zones:    [zonesPerDeployment]string{"cymru-south-a", "cymru-south-b", "cymru-south-c"},
		services: []service{{"catalogue", 6}, {"orders", 9}, {"tracking", 9}},
		traffic: trafficProfile{
			kinds: []requestKind{
				{"GET", "/catalogue/hazel", 4, true},
				{"POST", "/orders", 3, false},
				{"GET", "/orders/17", 1, false},
				{"GET", "/tracking/17", 2, false},
			},
			http1Rates:   map[string]float64{"care-homes": 20, "hill-walkers": 40, "museum-shops": 40, "rambling-clubs": 15},
			http2Rates:   map[string]float64{"pharmacies": 30, "mountain-rescue": 3, "theatre-props": 1},
			overRateTeam: "museum-shops", revokedTeam: "rambling-clubs", changedTeam: "care-homes", openPath: "/catalogue/hazel",
		},
	}
}

func colaLayout(network int) layout {
	return layout{
		name: "cola", region: "cr-central", network: network, tls: true,
		zones:    [zonesPerDeployment]string{"heredia", "alajuela", "cartago"},
		services: []service{{"shelflife", 6}, {"restock", 9}, {"alertlog", 9}},
		traffic: trafficProfile{
			kinds: []requestKind{
				{"GET", "/shelflife/public/glue", 2, true},
				{"GET", "/shelflife/glue", 2, false},
				{"POST", "/reorders", 3, false},
				{"GET", "/reorders/9", 1, false},
				{"POST", "/alerts", 1, false},
				{"GET", "/alerts/9", 1, false},
			},
			http1Rates:   map[string]float64{"ferreterias-sol": 40, "zapateria-union": 15, "imprenta-barva": 60, "talleres-poas": 15},
			http2Rates:   map[string]float64{"muebles-irazu": 30, "astillero-caldera": 15, "escuelas-norte": 3},
			overRateTeam: "imprenta-barva", revokedTeam: "talleres-poas", changedTeam: "zapateria-union", openPath: "/shelflife/public/glue",
		},
	}
}

// newVMs returns the VMs of a deployment. The backend servers of each service are
// spread evenly over the zones.
func (l *layout) newVMs() []vm {
	vms := make([]vm, 0, zonesPerDeployment*vmsPerZone)
	var inZone [zonesPerDeployment]int
	for _, s := range l.services {
		for i := range s.backends {
			z := i % zonesPerDeployment
			inZone[z]++
			vms = append(vms, vm{
				name:    fmt.Sprintf("%s-%d-%d", l.name, z+1, inZone[z]),
				address: fmt.Sprintf("127.%d.%d.%d", l.network, z+1, inZone[z]),
				zone:    l.zones[z], service: s.name, backend: fmt.Sprintf("%s-%d", s.name, i+1),
			})
		}
	}
	return vms
}

func (v *vm) hostPort(port int) string { return fmt.Sprintf("%s:%d", v.address, port) }

// trafficURL returns the base URL of a node for callers.
func (l *layout) trafficURL(v *vm) string {
	if l.tls {
		return "https://" + v.hostPort(trafficPort)
	}
	return "http://" + v.hostPort(trafficPort)
}

func (l *layout) platformAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", l.network, platformPort)
}
