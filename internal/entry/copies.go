package entry

// copies counts the copies of one submission at one owner. An owner that lost
// a cell and got it back, or whose stream broke, may have more than one; that
// it refuses one says nothing of the others.
type copies struct {
	owner string
	// waiting copies have no answer yet.
	waiting int
	// lost tells that a stream broke with copies that had no answer. The
	// owner may still read them.
	lost bool
}

// copiesAt returns the count of an owner.
func (j *relayed) copiesAt(owner string) *copies {
	for i := range j.copies {
		if j.copies[i].owner == owner {
			return &j.copies[i]
		}
	}
	j.copies = append(j.copies, copies{owner: owner})
	return &j.copies[len(j.copies)-1]
}

// sent notes that an owner was sent a copy.
func (j *relayed) sent(to ownerRef) {
	j.sentTo, j.everSent = to, true
	j.copiesAt(to.id).waiting++
}

// sendAgain lets the submission go out again once the owner that answered has
// no copy left.
func (j *relayed) sendAgain(from ownerRef, c *copies) {
	if j.sentTo.id == from.id && j.sentTo.link == from.link && c.waiting == 0 {
		j.sentTo = ownerRef{}
	}
}
