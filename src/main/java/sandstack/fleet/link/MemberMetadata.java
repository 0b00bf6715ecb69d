package sandstack.fleet.link;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.scalecube.cluster.metadata.MetadataCodec;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The metadata with which a member joins and which the library distributes: its name and where it runs. */
record MemberMetadata(
        @JsonProperty("v") int protocolVersion,
        @JsonProperty("name") String name,
        @JsonProperty("zone") String zone,
        @JsonProperty("machine") String machine) {
    /** Encodes the JSON text of the metadata as UTF-8 for the library. */
    static final MetadataCodec CODEC = new MetadataCodec() {
        @Override
        public Object deserialize(ByteBuffer buffer) {
            return StandardCharsets.UTF_8.decode(buffer.duplicate()).toString();
        }

        @Override
        public ByteBuffer serialize(Object metadata) {
            return ByteBuffer.wrap(metadata.toString().getBytes(StandardCharsets.UTF_8));
        }
    };
}
