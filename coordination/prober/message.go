package prober

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	KindPing        Kind = iota + 1 // Answered by KindAck with the same Seq.
	KindAck                         // Answers KindPing; a relay names in Target the member that answered it.
	KindPingRequest                 // Asks the receiver to ping Target at TargetAddr.
	KindGossip                      // Carries updates only.
	KindSyncRequest                 // Carries the bucket hashes of the sender's view.
	KindSyncReply                   // Carries the members of the buckets that differ.
)

// Message is a membership message between daemons.
type Message struct {
	Kind       Kind
	Seq        uint32
	From       Member   // The sender's own entry.
	Target     string   // Name of the member to probe, or that answered a relay's probe.
	TargetAddr string   // For KindPingRequest.
	ViewHash   uint32   // Hash of all live members in the sender's view.
	Buckets    []uint32 // For KindSyncRequest; NumBuckets long.
	Updates    []Member // Bounded by Settings.MaxGossipBytes or MaxSyncMembers.
}

// Sizes of the encoded form, as upper estimates in bytes.
const (
	messageOverhead = 120 // TCP/IP headers, frame, envelope and fixed fields.
	memberOverhead  = 26  // Numbers, state and the lengths of strings.
	bucketBytes     = 5   // One bucket hash.
)

// Size estimates the size of m on the wire in bytes, headers included.
func (m Message) Size() int {
	n := messageOverhead + m.From.encodedSize() + len(m.Target) + len(m.TargetAddr)
	n += len(m.Buckets) * bucketBytes
	for _, u := range m.Updates {
		n += u.encodedSize()
	}
	return n
}

func (m Member) encodedSize() int {
	return memberOverhead + len(m.Name) + len(m.Addr) + len(m.Domain) + len(m.Region) + len(m.Meta)
}

// Action is an instruction to the caller.
type Action interface{ action() }

// Send asks for Message to be sent to Addr. Loss is harmless.
type Send struct {
	Addr    string
	Message Message
}

// MemberChanged reports a member whose state or data changed. Previous is zero
// for a member that was not in the view before.
type MemberChanged struct {
	Member   Member
	Previous State
}

func (Send) action()          {}
func (MemberChanged) action() {}
