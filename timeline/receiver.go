package timeline

// ReceiverName is the name under which a process registers its Receiver for
// calls by net/rpc.
const ReceiverName = "Timeline"

// maxRemoteEvents bounds one reply.
const maxRemoteEvents = 10000

// Receiver gives the events of a process to its peers and to operators.
type Receiver struct{ Timeline *Timeline }

// EventsArgs selects events.
type EventsArgs struct{ Filter Filter }

// EventsReply holds the events in causal order.
type EventsReply struct{ Events []Event }

// Events returns the newest selected events, at most ten thousand.
func (r *Receiver) Events(args EventsArgs, reply *EventsReply) error {
	f := args.Filter
	if f.Limit <= 0 || f.Limit > maxRemoteEvents {
		f.Limit = maxRemoteEvents
	}
	reply.Events = r.Timeline.Events(f)
	return nil
}
