package timeline

// ReceiverName is the name under which a process registers its Receiver with
// net/rpc.
const ReceiverName = "Timeline"

// maxRemoteEvents is the maximum number of events in one reply.
const maxRemoteEvents = 10000

// Receiver provides the events of a process to its peers and to operators.
type Receiver struct{ Timeline *Timeline }

// EventsArgs are the arguments of Receiver.Events.
type EventsArgs struct{ Filter Filter }

// EventsReply contains the selected events in causal order.
type EventsReply struct{ Events []Event }

// Events returns the newest events that the filter selects, at most
// maxRemoteEvents (ten thousand).
func (r *Receiver) Events(args EventsArgs, reply *EventsReply) error {
	f := args.Filter
	if f.Limit <= 0 || f.Limit > maxRemoteEvents {
		f.Limit = maxRemoteEvents
	}
	reply.Events = r.Timeline.Events(f)
	return nil
}
