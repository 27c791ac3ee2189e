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

// service is a service and its number of backend servers.
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
	// tls is set if links between nodes and callers use TLS.
	tls bool
	// load is what the callers do.
	load callers
}

// callers describes the load of a deployment.
type callers struct {
	kinds []kind
	// first and second are teams that use HTTP/1.1 and HTTP/2, with their rates
	// in requests per second.
	first, second map[string]float64
	// greedy sends far more than its rate; its limit is not changed in the run.
	greedy string
	// withdrawn loses its key in the run.
	withdrawn string
	// changed gets another rate in the run.
	changed string
	// browse is the path of a route that is open to all.
	browse string
}

// kind is a kind of request.
type kind struct {
	method, path string
	share        float64
	open         bool
}

// vm is one virtual machine: a loopback address with a node and a backend server.
type vm struct {
	name    string // of the node
	address string
	zone    string
	service string
	backend string // name of the backend server
}

func ffon(network int) layout {
	return layout{
		name: "ffon", region: "cymru-south", network: network,
		zones:    [zonesPerDeployment]string{"cymru-south-a", "cymru-south-b", "cymru-south-c"},
		services: []service{{"catalogue", 6}, {"orders", 9}, {"tracking", 9}},
		load: callers{
			kinds: []kind{
				{"GET", "/catalogue/hazel", 4, true},
				{"POST", "/orders", 3, false},
				{"GET", "/orders/17", 1, false},
				{"GET", "/tracking/17", 2, false},
			},
			first:  map[string]float64{"care-homes": 20, "hill-walkers": 40, "museum-shops": 40, "rambling-clubs": 15},
			second: map[string]float64{"pharmacies": 30, "mountain-rescue": 3, "theatre-props": 1},
			greedy: "museum-shops", withdrawn: "rambling-clubs", changed: "care-homes", browse: "/catalogue/hazel",
		},
	}
}

func cola(network int) layout {
	return layout{
		name: "cola", region: "cr-central", network: network, tls: true,
		zones:    [zonesPerDeployment]string{"heredia", "alajuela", "cartago"},
		services: []service{{"shelflife", 6}, {"restock", 9}, {"alertlog", 9}},
		load: callers{
			kinds: []kind{
				{"GET", "/shelflife/public/glue", 2, true},
				{"GET", "/shelflife/glue", 2, false},
				{"POST", "/reorders", 3, false},
				{"GET", "/reorders/9", 1, false},
				{"POST", "/alerts", 1, false},
				{"GET", "/alerts/9", 1, false},
			},
			first:  map[string]float64{"ferreterias-sol": 40, "zapateria-union": 15, "imprenta-barva": 60, "talleres-poas": 15},
			second: map[string]float64{"muebles-irazu": 30, "astillero-caldera": 15, "escuelas-norte": 3},
			greedy: "imprenta-barva", withdrawn: "talleres-poas", changed: "zapateria-union", browse: "/shelflife/public/glue",
		},
	}
}

// vms returns the machines of a deployment. The backend servers of each service
// are spread evenly over the zones.
func (l *layout) vms() []vm {
	machines := make([]vm, 0, zonesPerDeployment*vmsPerZone)
	var inZone [zonesPerDeployment]int
	for _, s := range l.services {
		for i := range s.backends {
			z := i % zonesPerDeployment
			inZone[z]++
			machines = append(machines, vm{
				name:    fmt.Sprintf("%s-%d-%d", l.name, z+1, inZone[z]),
				address: fmt.Sprintf("127.%d.%d.%d", l.network, z+1, inZone[z]),
				zone:    l.zones[z], service: s.name, backend: fmt.Sprintf("%s-%d", s.name, i+1),
			})
		}
	}
	return machines
}

func (v *vm) at(port int) string { return fmt.Sprintf("%s:%d", v.address, port) }

// trafficURL is the address for callers.
func (l *layout) trafficURL(v *vm) string {
	if l.tls {
		return "https://" + v.at(trafficPort)
	}
	return "http://" + v.at(trafficPort)
}

func (l *layout) platformAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", l.network, platformPort)
}
