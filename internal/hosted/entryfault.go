package hosted

// EntryFault is the reason why an entry of the engine list is unusable.
type EntryFault uint8

// Faults of engine list entries.
const (
	// Unreadable: the entry is not a complete JSON object in UTF-8.
	Unreadable EntryFault = iota
	// DuplicateField: a field occurs twice, which makes its value ambiguous.
	DuplicateField
	// BadName: the key is not a valid engine name.
	BadName
	// Missing: a required field is absent.
	Missing
	// WrongType: a field has the wrong JSON type.
	WrongType
	// OutOfRange: a number is out of range.
	OutOfRange
	// BadAddress: the address is not of the form ip:port.
	BadAddress
	// UnknownState: the state is neither serving nor draining.
	UnknownState
	// UnknownService: the configuration does not define the service. The engine is kept, since a later configuration
	// may define it.
	UnknownService
)

var entryFaultNames = [...]string{
	Unreadable: "unreadable", DuplicateField: "repeated", BadName: "bad_name", Missing: "missing", WrongType: "wrong_type",
	OutOfRange: "out_of_range", BadAddress: "bad_address", UnknownState: "unknown_state", UnknownService: "unknown_service",
}

// String returns the name of the fault in logs and metrics.
func (f EntryFault) String() string { return entryFaultNames[f] }

// EntryError is the error of an unusable entry of the engine list.
type EntryError struct {
	Fault EntryFault
	// Field is the name of the faulty field; empty if the fault concerns the entry as a whole.
	Field string
	// Detail is the faulty value, or a description of the fault.
	Detail string
}

// Error implements the error interface.
func (e *EntryError) Error() string {
	message := e.Fault.String()
	if e.Field != "" {
		message += " " + e.Field
	}
	if e.Detail != "" {
		message += ": " + e.Detail
	}
	return message
}
