// Package rules parses the rules file, computes and applies differences between
// configurations, and matches requests to routes. In the rules file operators define
// services, routes, teams and keys, and take availability zones and backend servers
// out of service.
//
// The file has one rule per line. A rule consists of a kind, its operands, and
// attributes in any order. It ends with a comment that names the requester and the
// reason:
//
//	service catalogue floor 4 probe /health    # A. Rees: shop catalogue
//	route GET /catalogue/* host shop.example service catalogue access open repeat idempotent timeout 2s # A. Rees: browsing
//	team care-homes rate 50/s burst 100 weight 2   # C. Pugh: contract 14
//	key care-homes sha256:<64 hex digits>          # C. Pugh: first key
//	zone cymru-south-a out                         # D. Parry: power work
//	backend orders-3 out                           # D. Parry: disk swap
//
// Blank lines and lines that contain only a comment are ignored. Parse reports all
// errors of a file at once and returns no configuration for a file with errors.
//
// A Config is immutable once it is shared. Apply returns a new Config that shares
// every table that the delta does not modify.
package rules
