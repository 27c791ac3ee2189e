package node

import (
	"trefoildock.example/admission"
	"trefoildock.example/link"
	"trefoildock.example/wire"
)

// services serves the services whose home is this node.
type services struct{ homes *homes }

func newServices(h *homes) *services { return &services{homes: h} }

func (s *services) answer(link.Peer, *wire.ServiceReport) *wire.Answer {
	return &wire.Answer{Body: &wire.Answer_Service{Service: &wire.ServiceAnswer{NotHome: true}}}
}

// ejectionState returns the state of a backend server by its ejection permit.
func (h *homes) ejectionState(string, string) admission.State { return admission.Serving }

// ejected returns the backend servers of a service that hold a permit.
func (s *services) ejected(string) []string { return nil }
