package policy

// RowChange is the change of one row between two tables. Before is nil for an
// added row, After is nil for a removed row.
type RowChange struct {
	Service string   `msgpack:"s" json:"service"`
	Before  *Row     `msgpack:"b,omitempty" json:"before,omitempty"`
	After   *Row     `msgpack:"a,omitempty" json:"after,omitempty"`
	Columns []string `msgpack:"c,omitempty" json:"columns,omitempty"`
}

// Problem is a validation error in a CSV table. Line is 1-based; the header is
// line 1.
type Problem struct {
	Line     int    `msgpack:"l" json:"line"`
	Service  string `msgpack:"s,omitempty" json:"service,omitempty"`
	Column   string `msgpack:"c,omitempty" json:"column,omitempty"`
	Value    string `msgpack:"v,omitempty" json:"value,omitempty"`
	Expected string `msgpack:"e" json:"expected"`
}
