package wire

import "net/http"

// HeaderFromFields converts header fields to an http.Header.
func HeaderFromFields(fields []*Field) http.Header {
	h := make(http.Header, len(fields)+4)
	for _, f := range fields {
		h[f.GetName()] = append(h[f.GetName()], f.GetValue())
	}
	return h
}

// FieldsFromHeader converts an http.Header to header fields, with one field for
// each value of a name.
func FieldsFromHeader(h http.Header) []*Field {
	out := make([]*Field, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &Field{Name: name, Value: v})
		}
	}
	return out
}
