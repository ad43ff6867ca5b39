"""Messages between egretcart's processes, as data classes.

Each class mirrors the struct of the same name in ``wire.thrift``. A field
that is absent on the wire has the default that is given here. A default must
never change, because other releases omit a field that has this value.
"""

from egretcart.connection.agent_messages import AgentMessage
from egretcart.connection.entry_messages import EntryMessage
from egretcart.connection.leader_messages import LeaderMessage

Message = AgentMessage | LeaderMessage | EntryMessage
