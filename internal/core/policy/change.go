package policy

// RowChange is one row that differs between two tables. Before is nil for an
// added row, After for a removed one.
type RowChange struct {
	Service string   `msgpack:"s" json:"service"`
	Before  *Row     `msgpack:"b,omitempty" json:"before,omitempty"`
	After   *Row     `msgpack:"a,omitempty" json:"after,omitempty"`
	Columns []string `msgpack:"c,omitempty" json:"columns,omitempty"`
}

// Problem is one mistake in a CSV table. Line counts from 1 (the header).
type Problem struct {
	Line     int    `msgpack:"l" json:"line"`
	Service  string `msgpack:"s,omitempty" json:"service,omitempty"`
	Column   string `msgpack:"c,omitempty" json:"column,omitempty"`
	Value    string `msgpack:"v,omitempty" json:"value,omitempty"`
	Expected string `msgpack:"e" json:"expected"`
}
