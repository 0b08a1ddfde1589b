package connectionbudget

const (
	// fileDescriptors is the number of descriptors that a process keeps for what is no socket.
	fileDescriptors = 200
	// otherDivisor and refusedDivisor give the parts of the sockets for what is neither a caller nor an endpoint, and for callers
	// that are being refused. incomingShare is the share of the former for connections that other hosts open.
	otherDivisor, refusedDivisor = 4, 32
	incomingShare                = 0.75
	// servedCost is the cost of a request in progress: the connection of its caller and the one to its endpoint. What a move to
	// another endpoint needs for a moment is in the part of the other hosts.
	servedCost = 2
	// memoryDivisor gives the part of the memory for the connections of callers.
	memoryDivisor = 8
	// observersDivisor gives the part of the other sockets for each address that is not for callers.
	observersDivisor = 16
	// maxRefused is the number of connections that may be refused at a time, and of those to each of the other addresses, where
	// only the memory bounds them.
	maxRefused = 64
)

// ConnectionBytes is the memory that is set aside for the connection of a caller: its goroutine, its read and write buffers, and what
// waits in the kernel to be read.
const ConnectionBytes = 24 << 10

// Parts divides the sockets that a process may have open. No class can take the part of another one.
type Parts struct {
	// Callers is for the connections of callers and for those to endpoints that serve their requests.
	Callers int
	// Kept is the number of connections of callers that the memory allows. The memory of an endpoint's connection is that of the
	// request.
	Kept int
	// Refused is for callers that are being told that there is no room.
	Refused int
	// Peers is for the connections that other hosts open. What is left serves the connections to them, to the store and to the
	// origin, and metrics and readiness.
	Peers int
	// Observers is for the connections to each of the addresses for readiness, metrics and operators.
	Observers int
}

// Observing returns the parts of an address for readiness, metrics or operators.
func (p Parts) Observing() Parts {
	if p.Observers == 0 {
		return Parts{}
	}
	return Parts{Callers: p.Observers, Kept: p.Kept, Refused: 1}
}

// Split divides the sockets of a process that may have the given number of descriptors and bytes of memory. Zero sets no limit.
func Split(descriptors, memory int) Parts {
	var p Parts
	if descriptors > 0 {
		sockets := max(descriptors-fileDescriptors, descriptors/2)
		p.Refused = max(1, sockets/refusedDivisor)
		others := sockets / otherDivisor
		p.Peers = max(1, int(incomingShare*float64(others)))
		p.Observers = max(2*servedCost, others/observersDivisor)
		p.Callers = max(servedCost, sockets-others-p.Refused)
	}
	if memory > 0 {
		p.Kept = max(1, memory/memoryDivisor/ConnectionBytes)
	}
	if descriptors <= 0 && memory > 0 {
		p.Refused, p.Observers = maxRefused, maxRefused
	}
	return p
}
