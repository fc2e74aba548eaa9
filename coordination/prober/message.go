package prober

// Kind tells what a message is for.
type Kind uint8

// The kinds of message.
const (
	KindPing        Kind = iota + 1 // Answered by KindAck with the same Seq.
	KindAck                         // Target is set if the sender vouches for another member.
	KindPingRequest                 // Asks for a ping of Target at TargetAddr.
	KindGossip                      // Carries updates only.
	KindSyncRequest                 // Carries the bucket hashes of the sender's view.
	KindSyncReply                   // Carries the members of the buckets that differ.
)

// Message is what daemons send each other about membership.
type Message struct {
	Kind       Kind
	Seq        uint32
	From       Member // The sender's own entry.
	Target     string
	TargetAddr string
	ViewHash   uint32   // Hash of all live members in the sender's view.
	Buckets    []uint32 // For KindSyncRequest; Buckets long.
	Updates    []Member // Bounded by Settings.GossipBytes or SyncMembers.
}

// Sizes of the encoded form, as upper estimates in bytes.
const (
	messageOverhead = 120 // TCP/IP headers, frame, envelope and fixed fields.
	memberOverhead  = 26  // Numbers, state and the lengths of strings.
	bucketBytes     = 5
)

// Size estimates the bytes that m takes on the wire, headers included.
func (m Message) Size() int {
	n := messageOverhead + m.From.size() + len(m.Target) + len(m.TargetAddr)
	n += len(m.Buckets) * bucketBytes
	for _, u := range m.Updates {
		n += u.size()
	}
	return n
}

func (m Member) size() int {
	return memberOverhead + len(m.Name) + len(m.Addr) + len(m.Domain) + len(m.Region) + len(m.Meta)
}

// Action is something that the caller must do.
type Action interface{ action() }

// Send asks for Message to be sent to Addr. Loss is harmless.
type Send struct {
	Addr    string
	Message Message
}

// Changed tells of a member whose state or data changed. Was is zero for a
// member not known before.
type Changed struct {
	Member Member
	Was    State
}

func (Send) action()    {}
func (Changed) action() {}
