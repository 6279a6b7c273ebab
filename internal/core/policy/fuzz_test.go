package policy

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

func FuzzParseCSV(f *testing.F) {
	f.Add(sampleHeader + "a,live,p,m,latest,0,1,-,-,yes,*,0\n")
	f.Add("\uFEFF# revision 4,,\r\n" + sampleHeader + "b,trainer,p,m,3,9,1000,1000,1,yes,x;y,100\r\n")
	f.Add("service;kind\n")
	f.Add("\"unclosed\n,,,\n")
	f.Add(sampleHeader + "a,\"li\"ve,,,\n\n,,,,,,,,,,,,,\na\n")
	f.Fuzz(func(t *testing.T, text string) {
		ParseRevisionComment(text)
		rows, problems := ParseCSV(text)
		if len(problems) > 0 {
			assert.Assert(t, len(problems) <= MaxProblems)
			assert.Equal(t, len(rows), 0)
			return
		}
		assert.Equal(t, len(Validate(rows)), 0)
		again, problems := ParseCSV(FormatCSV(rows))
		assert.Equal(t, len(problems), 0)
		assert.DeepEqual(t, again, rows)
	})
}

func FuzzDecodeProposal(f *testing.F) {
	row := &Row{Service: "a", Kind: KindLive, Pool: "p", Model: "m", Share: 1}
	for _, proposal := range []Proposal{
		{ProposalID: "x", Changes: []RowChange{{Service: "a", After: row}}},
		{ProposalID: "y", BaseRevision: 3, Operator: "maeve", Changes: []RowChange{{Service: "a", Before: row}}},
	} {
		body, err := logrecord.EncodeBody(&proposal)
		assert.NilError(f, err)
		f.Add([]byte(body))
	}
	f.Add([]byte{0x81, 0xa1, 'c', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		record := logrecord.Record{Writer: "w", Sequence: 1, Kind: KindProposal, Body: body}
		var first, second Reducer
		verdict := first.Apply(0, record)
		assert.Equal(t, second.Apply(0, record), verdict)
		if _, err := DecodeProposal(record); err != nil {
			assert.Equal(t, verdict, logrecord.Invalid)
		}
		table := first.Table()
		assert.Equal(t, table.Revision > 0, verdict == logrecord.Accepted)
		assert.Equal(t, len(Validate(table.Rows)), 0)
	})
}
