package hosted

// EntryFault is why an entry of the engine list names no engine to use.
type EntryFault uint8

// The faults.
const (
	// Unreadable: the entry is no JSON object in UTF-8, or cut off.
	Unreadable EntryFault = iota
	// Repeated: a field stands twice, so that nobody knows which one holds.
	Repeated
	// BadName: the key is no name that can be sent to an engine.
	BadName
	// Missing: a field without which the engine cannot be used is not there.
	Missing
	// WrongType: a field is of another type.
	WrongType
	// OutOfRange: a number is beyond what an engine can have.
	OutOfRange
	// BadAddress: the address is not ip:port.
	BadAddress
	// UnknownState: the state says neither that the engine serves nor that it leaves.
	UnknownState
	// UnknownService: no configuration names the service. The engine is kept, since one may do so later.
	UnknownService
)

var entryFaultNames = [...]string{
	Unreadable: "unreadable", Repeated: "repeated", BadName: "bad_name", Missing: "missing", WrongType: "wrong_type",
	OutOfRange: "out_of_range", BadAddress: "bad_address", UnknownState: "unknown_state", UnknownService: "unknown_service",
}

// String returns the fault as it stands in logs and metrics.
func (f EntryFault) String() string { return entryFaultNames[f] }

// EntryError is the error of an entry that names no engine to use.
type EntryError struct {
	Fault EntryFault
	// Field is the entry's field at fault; empty for the entry as a whole.
	Field string
	// Detail is what stands there, or what is wrong with it.
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
