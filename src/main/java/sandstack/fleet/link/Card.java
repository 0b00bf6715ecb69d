package sandstack.fleet.link;

import io.scalecube.cluster.metadata.MetadataCodec;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What a member tells of itself when it comes: its name and where it is. */
record Card(int v, String name, String zone, String machine) {
    /** The library keeps it as bytes for whoever asks. */
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
