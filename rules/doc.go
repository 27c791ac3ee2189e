// Package rules reads, compares and matches the rules file in which operators
// create services, routes, teams, keys, and take availability zones and backend
// servers out of service.
//
// The text has one rule per line. A rule is a kind, its operands, and attributes
// in any order, and ends with a comment that names who asked for it:
//
//	service catalogue floor 4 probe /health    # A. Rees: shop catalogue
//	route GET /catalogue/* host shop.example service catalogue access open repeat idempotent timeout 2s # A. Rees: browsing
//	team care-homes rate 50/s burst 100 weight 2   # C. Pugh: contract 14
//	key care-homes sha256:<64 hex digits>          # C. Pugh: first key
//	zone cymru-south-a out                         # D. Parry: power work
//	backend orders-3 out                           # D. Parry: disk swap
//
// Blank lines and lines that hold only a comment are ignored. Parse reports all
// errors of a file at once; a file with an error yields no configuration.
//
// A Config is immutable once it is shared. Apply returns a new Config that shares
// every table that the delta leaves unchanged.
package rules
